package tenure

import "time"

// Tenure is one instance's view of who is home of one pool.
type Tenure struct {
	cfg Config
}

// New returns a Tenure that knows no record yet.
func New(cfg Config) *Tenure { return &Tenure{cfg: cfg.withDefaults()} }

// Observed takes the answer of a store read that was sent at started.
func (t *Tenure) Observed(now, started time.Time, rec Record, mod int64, exists bool) {}

// StoreFailed reports a read without an answer.
func (t *Tenure) StoreFailed(now time.Time) {}

// Swapped reports that the store applied a swap sent at started; mod is the key's new mod revision.
func (t *Tenure) Swapped(now, started time.Time, rec Record, mod int64) {}

// SwapLost reports a swap without an answer; a read settles it before anything else is done.
func (t *Tenure) SwapLost(now time.Time) {}

// SwapConflict reports a swap that the store refused because the mod revision differs.
func (t *Tenure) SwapConflict(now time.Time) {}

// Consented reports that a candidate consented to an Ask that was sent at started.
func (t *Tenure) Consented(now, started time.Time, from string) {}

// Denied reports that a candidate refused, and the highest epoch that it has seen.
func (t *Tenure) Denied(now time.Time, from string, epoch uint64) {}

// Consent answers another instance's Ask: whether the consent is given for hold, and the highest epoch seen here.
func (t *Tenure) Consent(now time.Time, from string, epoch uint64, hold time.Duration) (bool, uint64) {
	return false, 0
}

// SeenEpoch takes an epoch that a peer announced.
func (t *Tenure) SeenEpoch(now time.Time, epoch uint64) {}

// Step returns what the caller has to do now.
func (t *Tenure) Step(now time.Time, v View) []Action { return nil }

// MayGrant tells whether this instance may grant requests now, as home or within its static share.
func (t *Tenure) MayGrant(now time.Time) bool { return false }

// Share returns 1, or the number of candidates while only the static share may be granted.
func (t *Tenure) Share(now time.Time) int { return 1 }

// Mode returns the mode, for the state dump.
func (t *Tenure) Mode(now time.Time) Mode { return Follower }

// Baseline returns the time after which load reports count as the baseline of the servers' occupancy.
func (t *Tenure) Baseline() time.Time { return time.Time{} }

// HomeRef returns the home to which asks go, and false when none is known.
func (t *Tenure) HomeRef() (HomeRef, bool) { return HomeRef{}, false }

// Fence tells whether a permit or message of the epoch is current, and remembers the highest epoch.
func (t *Tenure) Fence(epoch uint64) bool { return true }

// Stop ends every right of this instance for good.
func (t *Tenure) Stop(now time.Time) {}

// Release returns the record that hands the pool over and the mod revision it replaces; it is false when this instance
// holds no record or a swap is not settled. The record is Settled once no permit can be started any more.
func (t *Tenure) Release(now time.Time) (Record, int64, bool) { return Record{}, 0, false }

// StartBy returns the moment until which a permit may be started whose poll was sent at the given time.
func (t *Tenure) StartBy(sent time.Time) time.Time { return sent.Add(t.cfg.StartWindow) }

// MayStart tells whether a permit whose poll was sent at the given time may be started now, by both clocks.
func (t *Tenure) MayStart(now, sent time.Time) bool { return false }
