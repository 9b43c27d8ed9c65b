package tenure

import "time"

// MayGrant tells whether this instance may grant requests now, as home or within its static share.
func (t *Tenure) MayGrant(now time.Time) bool {
	switch t.Mode(now) {
	case Home, Consent, Static:
		return true
	default:
		return false
	}
}

// Share returns 1, or the number of candidates while only the static share may be granted.
func (t *Tenure) Share(now time.Time) int {
	if t.Mode(now) == Static {
		return len(t.rec.Candidates)
	}
	return 1
}

// Baseline returns the time after which load reports count as the baseline of the servers' occupancy.
func (t *Tenure) Baseline() time.Time {
	if t.Holding() {
		return t.grantFrom
	}
	return t.staticFrom
}

// Mode returns the mode; its name is for the state dump.
func (t *Tenure) Mode(now time.Time) Mode {
	switch {
	case t.closed:
		return Closed
	case t.Holding():
		return t.homeMode(now)
	case t.static(now):
		return Static
	default:
		return Follower
	}
}

func (t *Tenure) homeMode(now time.Time) Mode {
	switch {
	case !t.valid(now):
		return Lapsed
	case now.Before(t.grantFrom) || t.lapsedLong(now):
		return Waiting
	case t.current(t.confirmed, now):
		return Home
	default:
		return Consent
	}
}

// current tells whether a confirmation that began at started still holds.
func (t *Tenure) current(started, now time.Time) bool {
	return !started.IsZero() && elapsed(started, now) < t.cfg.GrantRight
}

// unanimous tells whether the consent of every candidate that is not excused, in the record or in a swap that may still
// take effect, holds. The own entry stands for the round itself.
func (t *Tenure) unanimous(now time.Time) bool {
	if !t.current(t.consents[t.cfg.Self.ID], now) {
		return false
	}
	for _, c := range t.voters() {
		if !t.current(t.consents[c.ID], now) {
			return false
		}
	}
	return true
}

// valid tells whether a confirmation holds.
func (t *Tenure) valid(now time.Time) bool {
	return !t.superseded() && (t.current(t.confirmed, now) || t.unanimous(now))
}

// lapsedLong tells whether the right was lost for so long that others may have granted in between: a static share, or a
// home that has ended since.
func (t *Tenure) lapsedLong(now time.Time) bool { return elapsed(t.held, now) > t.cfg.GrantRight*3/2 }

// hold notes at each Step that the right holds, and has a home that regains it wait as a new one does.
func (t *Tenure) hold(now time.Time) {
	if !t.Holding() || !t.valid(now) {
		return
	}
	if t.lapsedLong(now) {
		t.await(now, t.cfg.wait())
		t.broken = true
	}
	if t.current(t.confirmed, now) {
		t.broken = false
	}
	t.held = now
}

// Unbroken tells whether the right has not lapsed for long since the store last confirmed it. Only then may the home claim
// keys in memory: during a lapse another home may have claimed the same keys in the store, and have ended.
func (t *Tenure) Unbroken(now time.Time) bool { return t.Holding() && !t.broken && !t.lapsedLong(now) }

// await holds grants back for d from now, and until no permit under a right that this instance consented to, or of its
// own static share, can be started.
func (t *Tenure) await(now time.Time, d time.Duration) {
	consented := t.promise.until().Add(t.cfg.drifted(t.cfg.StartWindow))
	t.grantFrom = later(now.Add(d), later(consented, t.staticUntil))
	t.held = now
}

// withdraw ends the right at once.
func (t *Tenure) withdraw() {
	t.confirmed = time.Time{}
	clear(t.consents)
	t.staticFrom = time.Time{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
