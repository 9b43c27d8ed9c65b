package tenure

import "time"

// storeState tracks the calls to the store.
type storeState struct {
	readInFlight bool      // A read was requested and has no result yet.
	readSentAt   time.Time // When the last read was requested; zero requests one immediately.
	failing      bool      // The last store call got no answer.
	recordStale  bool      // The known record is out of date, because a swap met a conflict.

	pendingSwap   *Record   // Swap that is in flight or not settled; nil if none.
	expectedMod   int64     // Mod revision that the last requested swap replaces.
	swapSentAt    time.Time // When pendingSwap was requested.
	swapUnsettled bool      // pendingSwap got no answer, so that its effect is unknown.
	swapLostAt    time.Time // When pendingSwap was reported lost.
	// unsettledCandidates are the candidates of a swap that may still take effect. They are kept until the mod
	// revision differs from expectedMod.
	unsettledCandidates []Candidate
}

// callTimeoutRights is the time, in multiples of RightDuration, after which a Read or Swap counts as lost if the
// caller has reported no result.
const callTimeoutRights = 5

// ReadDone reports the result of a store read that was sent at started.
func (t *Tenure) ReadDone(now, started time.Time, rec Record, mod int64, exists bool) {
	t.store.readInFlight = false
	t.store.failing = false
	t.readsUntilCurrent = max(0, t.readsUntilCurrent-1)
	if t.answerOutdated(started, mod, exists) {
		return
	}
	t.store.recordStale = false
	t.settleSwap(started, mod)
	t.applyRecord(now, started, rec, mod, exists)
}

// answerOutdated reports whether an answer is older than the known state, which happens when answers arrive out of
// order.
func (t *Tenure) answerOutdated(started time.Time, mod int64, exists bool) bool {
	if !exists {
		return started.Before(t.recordReadAt)
	}
	return mod < t.modRevision
}

// settleSwap resolves a lost swap if the key has changed since, or if the read was sent after the swap was reported
// lost. In the latter case the swap may still be in transit, so its candidates stay in unsettledCandidates.
func (t *Tenure) settleSwap(started time.Time, mod int64) {
	if mod != t.store.expectedMod {
		t.store.unsettledCandidates = nil
	}
	if t.store.swapUnsettled && (mod != t.store.expectedMod || !started.Before(t.store.swapLostAt)) {
		t.store.pendingSwap = nil
		t.store.swapUnsettled = false
	}
}

// ReadFailed reports that a read got no answer.
func (t *Tenure) ReadFailed(time.Time) {
	t.store.readInFlight = false
	t.store.failing = true
}

// SwapDone reports that the store applied a swap sent at started. mod is the key's new mod revision.
func (t *Tenure) SwapDone(now, started time.Time, rec Record, mod int64) {
	t.store.failing = false
	t.store.pendingSwap = nil
	t.store.swapUnsettled = false
	t.store.unsettledCandidates = nil
	if mod <= t.modRevision {
		return
	}
	t.applyRecord(now, started, rec, mod, true)
}

// SwapLost reports that a swap got no answer. A read must settle it before the next swap.
func (t *Tenure) SwapLost(now time.Time) {
	if t.store.pendingSwap == nil {
		return
	}
	t.store.swapUnsettled = true
	t.store.swapLostAt = now
	t.store.failing = true
	t.store.readSentAt = time.Time{}
}

// SwapConflict reports that the store rejected a swap because the mod revision differs.
func (t *Tenure) SwapConflict(time.Time) {
	t.store.failing = false
	t.store.pendingSwap = nil
	t.store.swapUnsettled = false
	t.store.recordStale = true
	t.store.readSentAt = time.Time{}
	t.revokeRight()
}

// startSwap requests a swap that replaces the known record with rec.
func (t *Tenure) startSwap(now time.Time, rec Record) []Action {
	t.store.pendingSwap = &rec
	t.store.expectedMod = t.modRevision
	t.store.swapSentAt = now
	t.store.unsettledCandidates = rec.Candidates
	return []Action{{Kind: Swap, Record: rec, ExpectedMod: t.modRevision}}
}

// readDue reports whether the record must be read. The home reads it to confirm its right; other instances read it
// only when it may have changed.
func (t *Tenure) readDue(now time.Time, v View) bool {
	s := &t.store
	if s.pendingSwap != nil && !s.swapUnsettled {
		return false
	}
	since := now.Sub(s.readSentAt)
	if since < t.cfg.RenewInterval || s.readInFlight && since < callTimeoutRights*t.cfg.RightDuration {
		return false
	}
	if s.swapUnsettled || s.recordStale || t.NamedHome() {
		return true
	}
	return !t.stopped && (!t.recordRead || t.superseded() || t.isVacant(v))
}

// storeSlow reports whether the store does not answer in time, so that the candidates must confirm the right.
func (t *Tenure) storeSlow(now time.Time) bool {
	s := &t.store
	if s.failing || s.swapUnsettled {
		return true
	}
	if s.pendingSwap != nil {
		return now.Sub(s.swapSentAt) > t.cfg.RenewInterval
	}
	return s.readInFlight && now.Sub(s.readSentAt) > t.cfg.RenewInterval
}

// applyRecord applies the state of the record as the store returned it to a call sent at started.
func (t *Tenure) applyRecord(now, started time.Time, rec Record, mod int64, exists bool) {
	before, held := t.record, t.NamedHome()
	t.recordRead, t.recordExists, t.record, t.modRevision = true, exists, rec, mod
	t.recordReadAt = later(t.recordReadAt, started)
	t.highestEpoch = max(t.highestEpoch, rec.Epoch)
	if !t.NamedHome() {
		t.revokeRight()
		return
	}
	t.staticFrom = time.Time{}
	switch {
	case !held:
		t.revokeRight()
		t.delayGrants(now, t.takeoverWait(before))
	case rec.Epoch > before.Epoch+1:
		t.delayGrants(now, t.cfg.earlierRightsExpiry()) // Another instance was home in the meantime.
	}
	t.confirmedAt = later(t.confirmedAt, started)
	t.renewRight(now)
}

// takeoverWait returns how long a new home must wait whose record replaces the record before.
func (t *Tenure) takeoverWait(before Record) time.Duration {
	if before.Released && before.Epoch+1 == t.record.Epoch {
		return 0
	}
	return t.cfg.earlierRightsExpiry()
}
