package tenure

import "time"

// stepStatic asks the other candidates to agree to static shares, and starts the wait once all agree.
func (t *Tenure) stepStatic(now time.Time) []Action {
	if !t.staticAllowed(now) {
		t.revokeRight()
		return nil
	}
	if !t.allConsented(now) {
		t.staticFrom = time.Time{}
	} else {
		t.startStaticWait(now)
	}
	if !t.consentRoundDue(now) {
		return nil
	}
	return t.startConsentRound(now)
}

// startStaticWait starts the wait before the static share may be granted. It extends staticPermitsUntil to cover
// permits granted under consents that arrive before the next Step.
func (t *Tenure) startStaticWait(now time.Time) {
	if t.staticFrom.IsZero() {
		t.staticFrom = now.Add(t.cfg.earlierRightsExpiry())
	}
	t.staticPermitsUntil = later(now, t.staticFrom).Add(t.cfg.RightDuration + t.cfg.withDrift(t.cfg.StartWindow))
}

// staticAllowed reports whether a static share is the only way to serve: the store does not answer and the home has
// ended. A home that is merely unreachable may still be confirmed by the store, and together the two would exceed a
// server's limit.
func (t *Tenure) staticAllowed(now time.Time) bool {
	return t.recordExists && !t.record.Released && t.record.has(t.cfg.Self.ID) && t.store.failing && !t.store.recordStale &&
		t.store.pendingSwap == nil && !t.superseded() && t.presence.ended[t.record.Home] && !now.Before(t.givenConsents.homeUntil)
}

// mayGrantStatic reports whether the static share may be granted now.
func (t *Tenure) mayGrantStatic(now time.Time) bool {
	return !t.staticFrom.IsZero() && !now.Before(t.staticFrom) && t.staticAllowed(now) && t.allConsented(now)
}
