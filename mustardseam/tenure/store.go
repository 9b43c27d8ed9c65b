package tenure

import "time"

// store is the state of the conversation with the store.
type store struct {
	reading bool
	readAt  time.Time // When the last read was asked for.
	failing bool      // The last call had no answer.
	stale   bool      // The record is known to be out of date.

	pending   *Record // Swap that is in flight or not settled.
	last      int64   // Mod revision that pending, or the last swap without an answer, replaces.
	sentAt    time.Time
	unsettled bool // No answer came for pending.
	lostAt    time.Time
	doubt     []Candidate // Candidates of a swap that may still take effect, until the mod revision passes last.
}

// callTimeout is the time, in grant rights, after which a Read or Swap without any result counts as lost, should the
// caller not report it.
const callTimeout = 5

// Observed takes the answer of a store read that was sent at started.
func (t *Tenure) Observed(now, started time.Time, rec Record, mod int64, exists bool) {
	t.store.reading = false
	t.store.failing = false
	t.unread = max(0, t.unread-1)
	if t.outdated(started, mod, exists) {
		return
	}
	t.store.stale = false
	t.settle(started, mod)
	t.adopt(now, started, rec, mod, exists)
}

// outdated tells whether an answer is older than what is known, as when answers arrive out of order.
func (t *Tenure) outdated(started time.Time, mod int64, exists bool) bool {
	if !exists {
		return started.Before(t.learnt)
	}
	return mod < t.mod
}

// settle ends a lost swap when the key has changed since, or when the read was sent after the loss. In the latter case
// the swap can still be on its way, so its candidates stay in doubt.
func (t *Tenure) settle(started time.Time, mod int64) {
	if mod != t.store.last {
		t.store.doubt = nil
	}
	if t.store.unsettled && (mod != t.store.last || !started.Before(t.store.lostAt)) {
		t.store.pending = nil
		t.store.unsettled = false
	}
}

// StoreFailed reports a read without an answer.
func (t *Tenure) StoreFailed(time.Time) {
	t.store.reading = false
	t.store.failing = true
}

// Swapped reports that the store applied a swap sent at started; mod is the key's new mod revision.
func (t *Tenure) Swapped(now, started time.Time, rec Record, mod int64) {
	t.store.failing = false
	t.store.pending = nil
	t.store.unsettled = false
	t.store.doubt = nil
	if mod <= t.mod {
		return
	}
	t.adopt(now, started, rec, mod, true)
}

// SwapLost reports a swap without an answer; a read settles it before the next swap.
func (t *Tenure) SwapLost(now time.Time) {
	if t.store.pending == nil {
		return
	}
	t.store.unsettled = true
	t.store.lostAt = now
	t.store.failing = true
	t.store.readAt = time.Time{}
}

// SwapConflict reports a swap that the store refused because the mod revision differs.
func (t *Tenure) SwapConflict(time.Time) {
	t.store.failing = false
	t.store.pending = nil
	t.store.unsettled = false
	t.store.stale = true
	t.store.readAt = time.Time{}
	t.withdraw()
}

// swap asks the caller to write rec in place of the known record.
func (t *Tenure) swap(now time.Time, rec Record) []Action {
	t.store.pending = &rec
	t.store.last = t.mod
	t.store.sentAt = now
	t.store.doubt = rec.Candidates
	return []Action{{Kind: Swap, Record: rec, Last: t.mod}}
}

// readDue tells whether the record is to be read: by the home to confirm its right, by others only when it may change.
func (t *Tenure) readDue(now time.Time, v View) bool {
	s := &t.store
	if s.pending != nil && !s.unsettled {
		return false
	}
	since := now.Sub(s.readAt)
	if since < t.cfg.Renew || s.reading && since < callTimeout*t.cfg.GrantRight {
		return false
	}
	if s.unsettled || s.stale || t.Holding() {
		return true
	}
	return !t.closed && (!t.known || t.superseded() || t.vacant(v))
}

// slow tells whether the store keeps this instance waiting, so that a confirmation has to come from the candidates.
func (t *Tenure) slow(now time.Time) bool {
	s := &t.store
	if s.failing || s.unsettled {
		return true
	}
	if s.pending != nil {
		return now.Sub(s.sentAt) > t.cfg.Renew
	}
	return s.reading && now.Sub(s.readAt) > t.cfg.Renew
}

// adopt takes over what the store said at a moment after started.
func (t *Tenure) adopt(now, started time.Time, rec Record, mod int64, exists bool) {
	before, held := t.rec, t.Holding()
	t.known, t.exists, t.rec, t.mod = true, exists, rec, mod
	t.learnt = later(t.learnt, started)
	t.seen = max(t.seen, rec.Epoch)
	if !t.Holding() {
		t.withdraw()
		return
	}
	t.staticFrom = time.Time{}
	switch {
	case !held:
		t.withdraw()
		t.await(now, t.waitAfter(before))
	case rec.Epoch > before.Epoch+1:
		t.await(now, t.cfg.wait()) // Another home in between.
	}
	t.confirmed = later(t.confirmed, started)
	t.hold(now)
}

// waitAfter returns the wait of a new home whose record follows the given one.
func (t *Tenure) waitAfter(before Record) time.Duration {
	if before.Released && before.Epoch+1 == t.rec.Epoch {
		return 0
	}
	return t.cfg.wait()
}
