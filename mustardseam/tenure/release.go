package tenure

import "time"

// Stop permanently ends all rights of this instance.
func (t *Tenure) Stop(now time.Time) {
	if t.stopped {
		return
	}
	t.stopped = true
	t.stoppedAt = now
	t.revokeRight()
}

// Release returns the record that hands the pool over, and the mod revision that it replaces. It returns false while
// a permit can still be started, while a swap is unsettled, and if NamedHome is false.
func (t *Tenure) Release(now time.Time) (Record, int64, bool) {
	t.Stop(now)
	if !t.NamedHome() || t.store.pendingSwap != nil || t.store.recordStale || t.superseded() {
		return Record{}, 0, false
	}
	if now.Sub(t.stoppedAt) < t.cfg.withDrift(t.cfg.StartWindow) {
		return Record{}, 0, false
	}
	rec := t.record
	rec.Epoch++
	rec.Released = true
	rec.Since = now.Round(0)
	t.startSwap(now, rec)
	return rec, t.modRevision, true
}
