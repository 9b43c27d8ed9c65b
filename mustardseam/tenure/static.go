package tenure

import "time"

// stepStatic asks the other candidates to agree on static share, and begins the wait when all agree.
func (t *Tenure) stepStatic(now time.Time) []Action {
	if !t.staticDue(now) {
		t.withdraw()
		return nil
	}
	if !t.unanimous(now) {
		t.staticFrom = time.Time{}
	} else {
		t.beginStatic(now)
	}
	if !t.askDue(now) {
		return nil
	}
	return t.ask(now)
}

// beginStatic starts the wait, and keeps the bound of what may be started when consents come in until the next Step.
func (t *Tenure) beginStatic(now time.Time) {
	if t.staticFrom.IsZero() {
		t.staticFrom = now.Add(t.cfg.wait())
	}
	t.staticUntil = later(now, t.staticFrom).Add(t.cfg.GrantRight + t.cfg.drifted(t.cfg.StartWindow))
}

// staticDue tells whether static share is the only way to serve: the store does not answer and the home has ended. A home
// that is only out of reach may still be confirmed by the store, and the two would exceed a server's limit together.
func (t *Tenure) staticDue(now time.Time) bool {
	return t.exists && !t.rec.Released && t.rec.has(t.cfg.Self.ID) && t.store.failing && !t.store.stale &&
		t.store.pending == nil && !t.superseded() && t.presence.gone[t.rec.Home] && !now.Before(t.promise.homeEnd)
}

// static tells whether the static share may be granted.
func (t *Tenure) static(now time.Time) bool {
	return !t.staticFrom.IsZero() && !now.Before(t.staticFrom) && t.staticDue(now) && t.unanimous(now)
}
