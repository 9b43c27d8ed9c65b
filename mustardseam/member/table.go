package member

import "time"

const (
	// describeEvery is the number of entries of one incarnation of which one carries all details; the others need a
	// third of the bytes.
	describeEvery = 10
	// describeNew is how long all entries carry all details after a new incarnation was heard of, which knows nobody yet.
	describeNew = 3 * time.Second
	// keepRemoved is how long a removed incarnation is remembered, so that late news does not bring it back.
	keepRemoved = 10 * time.Minute
)

// Table is the membership of a region as one instance sees it; it is not safe for concurrent use.
type Table struct {
	cfg     Config
	self    Member
	last    time.Time // Of the latest call.
	peers   map[string]*peer
	current map[string]*peer // By id; the incarnation in force.
	list    map[string]Entry // By id; nil before the first list.
	since   map[string]time.Time
	joined  time.Time // When a new incarnation was last heard of.
}

// New returns a table that knows only the instance itself.
func New(cfg Config) *Table {
	return &Table{
		cfg: cfg.withDefaults(), self: cfg.Self,
		peers: map[string]*peer{}, current: map[string]*peer{}, since: map[string]time.Time{},
	}
}

// Beat raises the own counter and returns the own entry for the next heartbeat.
func (t *Table) Beat(now time.Time) Member {
	t.at(now)
	t.self.Counter++
	return t.self
}

// SetSelf sets what the own entry says of this instance: that it is leaving, and its revision.
func (t *Table) SetSelf(now time.Time, leaving bool, revision uint64) {
	t.at(now)
	t.self.Leaving, t.self.Revision = leaving, revision
}

// Heard takes in one entry of a heartbeat, direct or indirect, and reports whether it was news. Only a counter above
// the known one counts as progress, so that old news that still circulates keeps nobody alive.
func (t *Table) Heard(now time.Time, m Member) bool {
	now = t.at(now)
	if m.Incarnation == "" || m.Incarnation == t.self.Incarnation {
		return false
	}
	p := t.peers[m.Incarnation]
	if p == nil {
		return t.add(now, m)
	}
	if m.Counter <= p.Counter {
		return false
	}
	p.update(now, m)
	p.gone = false
	t.enforce(now, p, true)
	return true
}

// Listed takes in the platform's list. An empty list is taken for a fault of the platform and ignored: this instance
// runs, so at least one instance exists.
func (t *Table) Listed(now time.Time, list []Entry) {
	now = t.at(now)
	if len(list) == 0 {
		return
	}
	since := map[string]time.Time{}
	t.list = make(map[string]Entry, len(list))
	for _, e := range list {
		t.list[e.ID] = e
		since[e.ID] = now
		if old, ok := t.since[e.ID]; ok {
			since[e.ID] = old
		}
	}
	t.since = since
	t.sweep(now)
}

// Probed takes in the result of a direct probe of an instance; a failed one changes nothing, because the time without
// progress already counts.
func (t *Table) Probed(now time.Time, incarnation string, ok bool) {
	now = t.at(now)
	p := t.peers[incarnation]
	if ok && p != nil && !p.replaced && !p.gone {
		p.progress = now
	}
}

// at moves the table's time to now. A gap longer than Config.Pause means that this process was paused and could not
// hear anybody, so the time without progress restarts for all that had not failed before the gap.
func (t *Table) at(now time.Time) time.Time {
	if now.Before(t.last) {
		return t.last
	}
	if !t.last.IsZero() && now.Sub(t.last) > t.cfg.Pause {
		for _, p := range t.peers {
			if p.state(t.last, t.cfg) != Failed {
				p.progress = now
			}
		}
	}
	t.last = now
	return now
}

// add takes in the first news of an incarnation.
func (t *Table) add(now time.Time, m Member) bool {
	if m.ID == "" {
		return false
	}
	p := &peer{Member: m, due: now, sent: m.Counter - 1}
	_, p.shown = t.list[m.ID]
	t.peers[m.Incarnation] = p
	t.enforce(now, p, false)
	t.joined = now
	return true
}

// enforce counts progress of a peer and decides which incarnation of its id is in force: the one that started last, or
// the one that still makes progress when the other failed, because a clock may have been set back between two starts.
func (t *Table) enforce(now time.Time, p *peer, rising bool) {
	old := t.current[p.ID]
	switch {
	case p.ID == t.self.ID:
		p.replaced = true
		return
	case old != nil && old != p && p.Incarnation < old.Incarnation && !(rising && old.state(now, t.cfg) == Failed):
		p.replaced = true
		return
	case old != nil && old != p:
		old.replaced = true
	}
	p.replaced = false
	p.progress = now
	t.current[p.ID] = p
}

// sweep removes failed incarnations that the list dropped, or has not shown within its lag.
func (t *Table) sweep(now time.Time) {
	for name, p := range t.peers {
		silent := now.Sub(p.progress)
		_, listed := t.list[p.ID]
		dropped := !listed && (p.shown || silent > t.cfg.ListLag)
		p.shown = p.shown || listed
		if p.state(now, t.cfg) == Failed && (dropped || p.replaced) {
			p.gone = dropped || silent > t.cfg.ListLag
		}
		if p.gone && silent > keepRemoved {
			t.drop(name, p)
		}
	}
}

func (t *Table) drop(name string, p *peer) {
	delete(t.peers, name)
	if t.current[p.ID] == p {
		delete(t.current, p.ID)
	}
}
