package claim

import (
	"cmp"
	"slices"
	"time"
)

// Stale returns the slots that can be deleted. The root stays, because it begins the chain.
func (j *Journal) Stale(now time.Time) []StaleSlot {
	var stale []StaleSlot
	horizon := now.Add(-j.cfg.remembered()).Unix()
	for number, s := range j.closed {
		if number != 0 && j.ready && j.ends[number] < horizon {
			stale = append(stale, s)
		}
	}
	slices.SortFunc(stale, func(a, b StaleSlot) int { return cmp.Compare(a.Number, b.Number) })
	return stale
}

// Deleted forgets a deleted slot with the claims whose last row it held.
func (j *Journal) Deleted(number int64) {
	for _, e := range j.bySlot[number] {
		if e.slot == number && j.entries[e.key] == e && !e.open() {
			delete(j.entries, e.key)
		}
	}
	delete(j.bySlot, number)
	delete(j.closed, number)
	delete(j.ends, number)
}

// Dump is the state of a Journal for people.
type Dump struct {
	Epoch   uint64 `json:"epoch"`
	Slot    int64  `json:"slot"`
	Claims  int    `json:"claims"`
	Open    int    `json:"open"`
	Queued  int    `json:"queued"`
	Through int64  `json:"complete-through"` // Unix milliseconds.
	Ready   bool   `json:"ready"`
	Fenced  bool   `json:"fenced"`
	Failing bool   `json:"failing"`
}

// Dump returns the state.
func (j *Journal) Dump(now time.Time) Dump {
	d := Dump{
		Epoch: j.cfg.Epoch, Claims: len(j.entries), Open: len(j.asks), Queued: len(j.queue), Through: j.through,
		Ready: j.ready, Fenced: j.fenced, Failing: j.failing(now),
	}
	if j.open != nil {
		d.Slot = j.open.number
	}
	return d
}
