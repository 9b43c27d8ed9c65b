package tenure

import "time"

// Stop ends every right of this instance for good.
func (t *Tenure) Stop(now time.Time) {
	if t.closed {
		return
	}
	t.closed = true
	t.closedAt = now
	t.withdraw()
}

// Release returns the record that hands the pool over and the mod revision it replaces. It is false while a permit can
// still be started, while a swap is not settled, and when Holding is false.
func (t *Tenure) Release(now time.Time) (Record, int64, bool) {
	t.Stop(now)
	if !t.Holding() || t.store.pending != nil || t.store.stale || t.superseded() {
		return Record{}, 0, false
	}
	if now.Sub(t.closedAt) < t.cfg.drifted(t.cfg.StartWindow) {
		return Record{}, 0, false
	}
	rec := t.rec
	rec.Epoch++
	rec.Released = true
	rec.Since = now.Round(0)
	t.swap(now, rec)
	return rec, t.mod, true
}
