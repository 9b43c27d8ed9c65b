package claim

import (
	"cmp"
	"slices"
	"time"
)

// StaleSlots returns the slots that can be deleted. The root slot is never deleted, because it begins the chain.
func (j *Journal) StaleSlots(now time.Time) []StaleSlot {
	var stale []StaleSlot
	horizon := now.Add(-j.cfg.slotRetention()).Unix()
	for number, s := range j.closedSlots {
		if number != 0 && j.ready && j.slotEnds[number] < horizon {
			stale = append(stale, s)
		}
	}
	slices.SortFunc(stale, func(a, b StaleSlot) int { return cmp.Compare(a.Number, b.Number) })
	return stale
}

// SlotDeleted forgets a deleted slot and the settled claims whose last row was in it.
func (j *Journal) SlotDeleted(number int64) {
	for _, e := range j.entriesBySlot[number] {
		if e.lastSlot == number && j.entries[e.key] == e && !e.isOpen() {
			delete(j.entries, e.key)
		}
	}
	delete(j.entriesBySlot, number)
	delete(j.closedSlots, number)
	delete(j.slotEnds, number)
}

// Dump is the state of a Journal for inspection, as the state dump shows it.
type Dump struct {
	Epoch   uint64 `json:"epoch"`            // Epoch of the home record.
	Slot    int64  `json:"slot"`             // Number of the open slot.
	Claims  int    `json:"claims"`           // Known claims, with and without an outcome.
	Open    int    `json:"open"`             // Claims without an outcome.
	Queued  int    `json:"queued"`           // Claims and outcomes that wait for a row.
	Through int64  `json:"complete-through"` // Unix milliseconds up to which every claim is in the journal.
	Ready   bool   `json:"ready"`            // See Journal.Ready.
	Fenced  bool   `json:"fenced"`           // See Journal.Fenced.
	Failing bool   `json:"failing"`          // The store counts as failing.
}

// Dump returns the state of the journal.
func (j *Journal) Dump(now time.Time) Dump {
	d := Dump{
		Epoch: j.cfg.Epoch, Claims: len(j.entries), Open: len(j.openByAsk), Queued: len(j.queue), Through: j.completeThrough,
		Ready: j.ready, Fenced: j.fenced, Failing: j.storeFailing(now),
	}
	if j.openSlot != nil {
		d.Slot = j.openSlot.number
	}
	return d
}
