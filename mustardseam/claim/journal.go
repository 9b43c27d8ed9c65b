package claim

import (
	"cmp"
	"slices"
	"time"
)

// Journal holds the claims of one pool at its home.
type Journal struct {
	cfg           Config
	entries       map[digest]*entry   // Current claim of each key.
	openByAsk     map[string]*entry   // Claims without an outcome, by ask.
	entriesBySlot map[int64][]*entry  // Entries that have a row in the slot, by slot number; used to forget them.
	closedSlots   map[int64]StaleSlot // Closed slots, by number.
	slotEnds      map[int64]int64     // End of each closed slot in Unix seconds, by number.
	gaps          []gap               // Spans of key times for which claims may have been lost.

	openSlot *openSlot // Slot that takes new rows; nil before Load.
	ready    bool      // The open slot was written by this home.
	fenced   bool      // A newer home owns the journal.

	queue           []*entry       // Claims and outcomes without a row in the open slot.
	oldestQueuedAt  time.Time      // When the oldest entry of queue was added.
	completeThrough int64          // Unix milliseconds up to which every claim is in the journal.
	inFlight        *inFlightWrite // Write that is in flight or not settled; nil if none.
	lastWriteID     uint64         // ID of the last write.
	lastWriteAt     time.Time      // When NextWrite last returned a write.
}

// New returns a Journal without claims. No write is due before Load.
func New(cfg Config) *Journal {
	return &Journal{
		cfg:           cfg.withDefaults(),
		entries:       map[digest]*entry{},
		openByAsk:     map[string]*entry{},
		entriesBySlot: map[int64][]*entry{},
		closedSlots:   map[int64]StaleSlot{},
		slotEnds:      map[int64]int64{},
	}
}

// Load reads the slots of earlier homes. It must be called right after the swap of the home record; ready is the time
// from which this home may grant. It returns an error if a slot cannot be decoded.
func (j *Journal) Load(now, ready time.Time, slots []Slot) error {
	slots = slices.Clone(slots)
	slices.SortFunc(slots, func(a, b Slot) int { return cmp.Compare(a.Number, b.Number) })
	j.openSlot = newOpen(0, 0)
	for _, s := range slots {
		if err := j.loadSlot(s); err != nil {
			return err
		}
	}
	j.lastWriteID = uint64(now.UnixNano())
	if len(slots) == 0 {
		j.completeThrough = now.UnixMilli() // No key has ever been claimed.
	}
	j.recordMemoryGap(now, ready)
	return nil
}

// loadSlot loads a slot, which becomes the open one. If the slot names a successor, it is closed and the successor
// becomes the open one.
func (j *Journal) loadSlot(s Slot) error {
	v, entries, err := decodeSlot(s.Value)
	if err != nil {
		return err
	}
	if v.Epoch > j.cfg.Epoch {
		j.markFenced()
		return nil
	}
	j.completeThrough = max(j.completeThrough, v.Through)
	for _, g := range v.Gaps {
		j.addGap(g)
	}
	j.openSlot = newOpen(s.Number, s.Mod)
	for _, e := range entries {
		j.loadEntry(e)
	}
	if v.Next != 0 {
		j.closeSlot(v.Next, s.Mod)
	}
	return nil
}

// loadEntry adds a claim read from the open slot. It replaces earlier rows of the same key.
func (j *Journal) loadEntry(e *entry) {
	old := j.entries[e.key]
	if old != nil && old.queued && old.ask == e.ask && e.isOpen() {
		e = old // The outcome was recorded here after the slot was first read.
	}
	waits := old != nil && old.lastSlot == 0 && old.isOpen()
	e.rowIndex = -1
	j.openSlot.place(e, 2*j.cfg.MaxSlotBytes)
	j.entriesBySlot[e.lastSlot] = append(j.entriesBySlot[e.lastSlot], e)
	if waits && e.state == notRun {
		return
	}
	if old != nil && old != e {
		j.supersede(old)
	}
	j.entries[e.key] = e
	if e.isOpen() {
		j.openByAsk[e.ask] = e
	}
}

// supersede ends an entry whose key was claimed first at an earlier home. A claim that still waits for its first
// write has not been granted, so it did not run.
func (j *Journal) supersede(old *entry) {
	if j.openByAsk[old.ask] == old {
		delete(j.openByAsk, old.ask)
	}
	if old.lastSlot == 0 {
		old.state = notRun
	}
	old.rowIndex = -1
}

// closeSlot closes the open slot and opens the slot next, which does not exist yet.
func (j *Journal) closeSlot(next, mod int64) {
	number := j.openSlot.number
	j.closedSlots[number] = StaleSlot{Number: number, Mod: mod}
	j.slotEnds[number] = next
	for _, e := range j.entriesBySlot[number] {
		e.rowIndex = -1
	}
	j.openSlot = newOpen(next, 0)
}

// recordMemoryGap records the span of key times for which an earlier home may have held claims only in memory. That
// home did so after MemoryClaimsAfter without a stamp; its right to grant ended at most 2.2 s after the swap of the
// home record, and the clocks differ at most by tenure.Config.MaxClockDrift and by MaxClockSkew. Hence such a span
// exists only if the swap, which has just taken place, came more than FailureThreshold after the last stamp.
func (j *Journal) recordMemoryGap(now, ready time.Time) {
	if now.UnixMilli()-j.completeThrough <= j.cfg.FailureThreshold.Milliseconds() {
		return
	}
	j.addGap(gap{From: j.completeThrough / 1000, To: ready.Add(j.cfg.MaxClockSkew).Unix()})
}

// addGap adds a gap unless it is known.
func (j *Journal) addGap(g gap) {
	if !slices.Contains(j.gaps, g) {
		j.gaps = append(j.gaps, g)
	}
}

// inGap reports whether claims of keys with this time may have been lost.
func (j *Journal) inGap(t time.Time) bool {
	return slices.ContainsFunc(j.gaps, func(g gap) bool { return t.Unix() >= g.From && t.Unix() <= g.To })
}

// markFenced ends the journal, because a newer home owns it.
func (j *Journal) markFenced() {
	j.fenced = true
	j.ready = false
	j.inFlight = nil
}

// SetEpoch raises the epoch after the home has changed its own record.
func (j *Journal) SetEpoch(epoch uint64) { j.cfg.Epoch = max(j.cfg.Epoch, epoch) }

// Ready reports whether this home has written the open slot, so that claims can be committed.
func (j *Journal) Ready() bool { return j.ready }

// Fenced reports whether a newer home owns the journal, so that no claim succeeds any more.
func (j *Journal) Fenced() bool { return j.fenced }
