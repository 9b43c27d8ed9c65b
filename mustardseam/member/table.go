package member

import "time"

const (
	// fullEntryInterval is the number of entries of an incarnation of which one carries all details. The others need
	// a third of the bytes.
	fullEntryInterval = 10
	// fullEntriesAfterJoin is how long all entries carry all details after the first entry of a new incarnation was
	// received, because that incarnation knows no other instance yet.
	fullEntriesAfterJoin = 3 * time.Second
	// removedRetention is how long a removed incarnation is kept, so that a late entry does not add it again.
	removedRetention = 10 * time.Minute
)

// Table is the membership of a region as seen by one instance. It is not safe for concurrent use.
type Table struct {
	cfg          Config
	self         Member               // This instance's own entry.
	lastCall     time.Time            // Time of the latest call.
	peers        map[string]*peer     // By incarnation, without this instance.
	currentByID  map[string]*peer     // Current incarnation of each id.
	platformList map[string]ListEntry // Last list of the platform, by id; nil before the first list.
	listedSince  map[string]time.Time // When each id in platformList was first listed without interruption.
	lastJoinedAt time.Time            // When the first entry of a new incarnation was last received.
}

// New returns a table that knows only the instance itself.
func New(cfg Config) *Table {
	return &Table{
		cfg: cfg.withDefaults(), self: cfg.Self,
		peers: map[string]*peer{}, currentByID: map[string]*peer{}, listedSince: map[string]time.Time{},
	}
}

// NextOwnEntry increments the instance's own counter and returns its entry for the next heartbeat.
func (t *Table) NextOwnEntry(now time.Time) Member {
	t.advanceTo(now)
	t.self.Counter++
	return t.self
}

// SetSelf sets whether this instance is leaving, and the revision of its configuration.
func (t *Table) SetSelf(now time.Time, leaving bool, revision uint64) {
	t.advanceTo(now)
	t.self.Leaving, t.self.Revision = leaving, revision
}

// ApplyEntry applies one entry of a heartbeat, sent by the instance itself or by another one, and reports whether it
// had new information. Only a counter above the known one counts as progress, so that old entries still in
// circulation do not keep an instance alive.
func (t *Table) ApplyEntry(now time.Time, m Member) bool {
	now = t.advanceTo(now)
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
	p.removed = false
	t.recordProgress(now, p, true)
	return true
}

// ApplyList applies a list from the platform. An empty list is ignored as a platform fault: this instance runs, so at
// least one instance exists.
func (t *Table) ApplyList(now time.Time, list []ListEntry) {
	now = t.advanceTo(now)
	if len(list) == 0 {
		return
	}
	since := map[string]time.Time{}
	t.platformList = make(map[string]ListEntry, len(list))
	for _, e := range list {
		t.platformList[e.ID] = e
		since[e.ID] = now
		if old, ok := t.listedSince[e.ID]; ok {
			since[e.ID] = old
		}
	}
	t.listedSince = since
	t.removeFailed(now)
}

// ApplyProbe applies the result of a direct probe of an instance. A failed probe changes nothing, because the time
// without progress counts already.
func (t *Table) ApplyProbe(now time.Time, incarnation string, ok bool) {
	now = t.advanceTo(now)
	p := t.peers[incarnation]
	if ok && p != nil && !p.replaced && !p.removed {
		p.lastProgress = now
	}
}

// advanceTo moves the table's time to now and returns it; it never goes back. A gap longer than Config.PauseThreshold
// means that this process was paused and received nothing, so the time without progress restarts for every instance
// that had not failed before the gap.
func (t *Table) advanceTo(now time.Time) time.Time {
	if now.Before(t.lastCall) {
		return t.lastCall
	}
	if !t.lastCall.IsZero() && now.Sub(t.lastCall) > t.cfg.PauseThreshold {
		for _, p := range t.peers {
			if p.state(t.lastCall, t.cfg) != Failed {
				p.lastProgress = now
			}
		}
	}
	t.lastCall = now
	return now
}

// add adds an incarnation when its first entry is received.
func (t *Table) add(now time.Time, m Member) bool {
	if m.ID == "" {
		return false
	}
	p := &peer{Member: m, changedAt: now, lastSentCounter: m.Counter - 1}
	_, p.everListed = t.platformList[m.ID]
	t.peers[m.Incarnation] = p
	t.recordProgress(now, p, false)
	t.lastJoinedAt = now
	return true
}

// recordProgress records progress of a peer and selects the current incarnation of its id. This is the one that
// started last, or, if that one has failed, another one that still makes progress, because a clock may have been set
// back between two starts.
func (t *Table) recordProgress(now time.Time, p *peer, rising bool) {
	old := t.currentByID[p.ID]
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
	p.lastProgress = now
	t.currentByID[p.ID] = p
}

// removeFailed removes failed incarnations that the list no longer shows, or has not shown within MaxListLag.
func (t *Table) removeFailed(now time.Time) {
	for name, p := range t.peers {
		sinceProgress := now.Sub(p.lastProgress)
		_, listed := t.platformList[p.ID]
		dropped := !listed && (p.everListed || sinceProgress > t.cfg.MaxListLag)
		p.everListed = p.everListed || listed
		if p.state(now, t.cfg) == Failed && (dropped || p.replaced) {
			p.removed = dropped || sinceProgress > t.cfg.MaxListLag
		}
		if p.removed && sinceProgress > removedRetention {
			t.forget(name, p)
		}
	}
}

// forget deletes all state of an incarnation.
func (t *Table) forget(name string, p *peer) {
	delete(t.peers, name)
	if t.currentByID[p.ID] == p {
		delete(t.currentByID, p.ID)
	}
}
