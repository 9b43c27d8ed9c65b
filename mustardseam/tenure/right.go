package tenure

import "time"

// MayGrant reports whether this instance may grant requests now, as home or within its static share.
func (t *Tenure) MayGrant(now time.Time) bool {
	switch t.Mode(now) {
	case Home, Consent, Static:
		return true
	default:
		return false
	}
}

// ShareDivisor returns the number by which the servers' limits are divided for this instance: the number of
// candidates in mode Static, otherwise 1.
func (t *Tenure) ShareDivisor(now time.Time) int {
	if t.Mode(now) == Static {
		return len(t.record.Candidates)
	}
	return 1
}

// BaselineAfter returns the time after which load reports may serve as the baseline of the servers' occupancy.
func (t *Tenure) BaselineAfter() time.Time {
	if t.NamedHome() {
		return t.grantFrom
	}
	return t.staticFrom
}

// Mode returns the current mode. The state dump shows its name.
func (t *Tenure) Mode(now time.Time) Mode {
	switch {
	case t.stopped:
		return Stopped
	case t.NamedHome():
		return t.homeMode(now)
	case t.mayGrantStatic(now):
		return Static
	default:
		return Follower
	}
}

func (t *Tenure) homeMode(now time.Time) Mode {
	switch {
	case !t.rightHolds(now):
		return Lapsed
	case now.Before(t.grantFrom) || t.lapsedLong(now):
		return Waiting
	case t.confirmationHolds(t.confirmedAt, now):
		return Home
	default:
		return Consent
	}
}

// confirmationHolds reports whether a confirmation requested at started is still valid.
func (t *Tenure) confirmationHolds(started, now time.Time) bool {
	return !started.IsZero() && elapsed(started, now) < t.cfg.RightDuration
}

// allConsented reports whether valid consents exist from all candidates, in the record and in a swap that may still
// take effect, whose consent is required. This instance's own entry is the start of the round.
func (t *Tenure) allConsented(now time.Time) bool {
	if !t.confirmationHolds(t.consentedAt[t.cfg.Self.ID], now) {
		return false
	}
	for _, c := range t.voters() {
		if !t.confirmationHolds(t.consentedAt[c.ID], now) {
			return false
		}
	}
	return true
}

// rightHolds reports whether the right to grant is confirmed by the store or by the candidates, and no higher epoch
// is known.
func (t *Tenure) rightHolds(now time.Time) bool {
	return !t.superseded() && (t.confirmationHolds(t.confirmedAt, now) || t.allConsented(now))
}

// lapsedLong reports whether the right lapsed for so long that others may have granted in the meantime: under static
// shares, or as a home that has ended since.
func (t *Tenure) lapsedLong(now time.Time) bool {
	return elapsed(t.rightHeldAt, now) > t.cfg.RightDuration*3/2
}

// renewRight is called at each Step. It records that the right holds, and makes a home that regains the right after a
// long lapse wait like a new home.
func (t *Tenure) renewRight(now time.Time) {
	if !t.NamedHome() || !t.rightHolds(now) {
		return
	}
	if t.lapsedLong(now) {
		t.delayGrants(now, t.cfg.earlierRightsExpiry())
		t.lapsedSinceConfirmed = true
	}
	if t.confirmationHolds(t.confirmedAt, now) {
		t.lapsedSinceConfirmed = false
	}
	t.rightHeldAt = now
}

// ConfirmedWithoutLapse reports whether the right has not lapsed for long since the store last confirmed it. Only
// then may the home claim keys in memory: during a long lapse another home may have claimed the same keys in the
// store and have ended since.
func (t *Tenure) ConfirmedWithoutLapse(now time.Time) bool {
	return t.NamedHome() && !t.lapsedSinceConfirmed && !t.lapsedLong(now)
}

// delayGrants forbids grants for d from now, and until all permits have expired that were granted under a right to
// which this instance consented or under its own static share.
func (t *Tenure) delayGrants(now time.Time, d time.Duration) {
	consented := t.givenConsents.until().Add(t.cfg.withDrift(t.cfg.StartWindow))
	t.grantFrom = later(now.Add(d), later(consented, t.staticPermitsUntil))
	t.rightHeldAt = now
}

// revokeRight ends the right to grant immediately, as home and for the static share, by discarding all confirmations.
func (t *Tenure) revokeRight() {
	t.confirmedAt = time.Time{}
	clear(t.consentedAt)
	t.staticFrom = time.Time{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
