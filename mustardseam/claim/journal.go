package claim

import (
	"cmp"
	"slices"
	"time"
)

// Journal holds the claims of one pool at its home.
type Journal struct {
	cfg     Config
	entries map[digest]*entry
	asks    map[string]*entry   // Open claims by ask.
	bySlot  map[int64][]*entry  // For forgetting.
	closed  map[int64]StaleSlot // Closed slots by number.
	ends    map[int64]int64     // By closed slot: unix seconds of its end.
	gaps    []gap

	open   *openSlot // Nil before Load.
	ready  bool      // The open slot was written by this home.
	fenced bool

	queue    []*entry  // Claims and outcomes that have no row in the open slot yet.
	queuedAt time.Time // Of the oldest.
	through  int64     // Unix milliseconds up to which every claim is in the journal.
	flight   *flight   // Write that is in flight or not settled.
	lastID   uint64
	writeAt  time.Time // When the last write was returned.
}

// New returns a Journal without claims; Load makes it ready for writes.
func New(cfg Config) *Journal {
	return &Journal{
		cfg:     cfg.withDefaults(),
		entries: map[digest]*entry{},
		asks:    map[string]*entry{},
		bySlot:  map[int64][]*entry{},
		closed:  map[int64]StaleSlot{},
		ends:    map[int64]int64{},
	}
}

// Load takes the slots of earlier homes, right after the swap of the home record; ready is the moment from which this home
// may grant. It fails when a slot cannot be decoded.
func (j *Journal) Load(now, ready time.Time, slots []Slot) error {
	slots = slices.Clone(slots)
	slices.SortFunc(slots, func(a, b Slot) int { return cmp.Compare(a.Number, b.Number) })
	j.open = newOpen(0, 0)
	for _, s := range slots {
		if err := j.absorb(s); err != nil {
			return err
		}
	}
	j.lastID = uint64(now.UnixNano())
	if len(slots) == 0 {
		j.through = now.UnixMilli() // Nothing was ever claimed.
	}
	j.noteGap(now, ready)
	return nil
}

// absorb takes one slot, which is the open one so far. A closed slot opens the one that it names.
func (j *Journal) absorb(s Slot) error {
	v, entries, err := decode(s.Value)
	if err != nil {
		return err
	}
	if v.Epoch > j.cfg.Epoch {
		j.fence()
		return nil
	}
	j.through = max(j.through, v.Through)
	for _, g := range v.Gaps {
		j.addGap(g)
	}
	j.open = newOpen(s.Number, s.Mod)
	for _, e := range entries {
		j.take(e)
	}
	if v.Next != 0 {
		j.close(v.Next, s.Mod)
	}
	return nil
}

// take enters a loaded claim, which replaces earlier rows of its key.
func (j *Journal) take(e *entry) {
	old := j.entries[e.key]
	if old != nil && old.queued && old.ask == e.ask && e.open() {
		e = old // Settled here since the slot was read before.
	}
	waits := old != nil && old.slot == 0 && old.open()
	e.row = -1
	j.open.place(e, 2*j.cfg.MaxSlotBytes)
	j.bySlot[e.slot] = append(j.bySlot[e.slot], e)
	if waits && e.state == notRun {
		return
	}
	if old != nil && old != e {
		j.displace(old)
	}
	j.entries[e.key] = e
	if e.open() {
		j.asks[e.ask] = e
	}
}

// displace ends an entry whose key an earlier home claimed first. A claim that waits for its first write was not granted.
func (j *Journal) displace(old *entry) {
	if j.asks[old.ask] == old {
		delete(j.asks, old.ask)
	}
	if old.slot == 0 {
		old.state = notRun
	}
	old.row = -1
}

// close ends the open slot and makes the named one, which does not exist yet, the open one.
func (j *Journal) close(next, mod int64) {
	number := j.open.number
	j.closed[number] = StaleSlot{Number: number, Mod: mod}
	j.ends[number] = next
	for _, e := range j.bySlot[number] {
		e.row = -1
	}
	j.open = newOpen(next, 0)
}

// noteGap remembers the span for which an earlier home may have held claims in memory only. It did so after Memory
// without a stamp; its right to grant ended at most 2.2 s after the swap of the home record, and the clocks differ by
// Drift and Skew. So the swap, which now follows, came more than Gap after the last stamp.
func (j *Journal) noteGap(now, ready time.Time) {
	if now.UnixMilli()-j.through <= j.cfg.Gap.Milliseconds() {
		return
	}
	j.addGap(gap{From: j.through / 1000, To: ready.Add(j.cfg.Skew).Unix()})
}

func (j *Journal) addGap(g gap) {
	if !slices.Contains(j.gaps, g) {
		j.gaps = append(j.gaps, g)
	}
}

func (j *Journal) inGap(t time.Time) bool {
	return slices.ContainsFunc(j.gaps, func(g gap) bool { return t.Unix() >= g.From && t.Unix() <= g.To })
}

// fence ends the journal: a newer home owns it.
func (j *Journal) fence() {
	j.fenced = true
	j.ready = false
	j.flight = nil
}

// SetEpoch raises the epoch after the home changed its own record.
func (j *Journal) SetEpoch(epoch uint64) { j.cfg.Epoch = max(j.cfg.Epoch, epoch) }

// Ready tells whether the open slot belongs to this home, so that claims can be committed.
func (j *Journal) Ready() bool { return j.ready }

// Fenced tells whether a newer home has taken the journal over; no claim succeeds any more.
func (j *Journal) Fenced() bool { return j.fenced }
