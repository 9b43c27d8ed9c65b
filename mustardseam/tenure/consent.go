package tenure

import (
	"slices"
	"time"
)

// givenConsents records the consents that this instance has given.
type givenConsents struct {
	home       string    // Incarnation that may act as home.
	homeUntil  time.Time // This instance neither takes over nor grants a static share before this time.
	shareUntil time.Time // This instance neither takes over nor consents to a home before this time.
}

// until returns the time at which all given consents have expired.
func (g *givenConsents) until() time.Time { return later(g.homeUntil, g.shareUntil) }

// Consent handles an Ask from another instance. It returns whether consent is given for the duration, and the highest
// epoch known to this instance. The home named by the record asks to continue as home; any other candidate asks to
// grant its static share.
func (t *Tenure) Consent(now time.Time, from string, epoch uint64, duration time.Duration) (bool, uint64) {
	if epoch < t.highestEpoch || t.NamedHome() || from == t.cfg.Self.ID {
		return false, t.highestEpoch
	}
	t.raiseEpoch(epoch)
	end := now.Add(t.cfg.withDrift(duration))
	if home := t.homeOfEpoch(epoch); home != "" && home != from {
		return t.consentToShare(now, end), t.highestEpoch
	}
	return t.consentToHome(now, from, end), t.highestEpoch
}

// homeOfEpoch returns the home of the epoch, or "" if it is unknown.
func (t *Tenure) homeOfEpoch(epoch uint64) string {
	switch {
	case t.recordExists && t.record.Epoch == epoch:
		return t.record.Home
	case t.announcedHome.Epoch == epoch:
		return t.announcedHome.Home
	default:
		return ""
	}
}

// consentToHome also handles candidates that have not yet read the record of the epoch. Because such a candidate
// cannot distinguish the home from an instance that asks for a static share, it consents to one instance at a time.
// It refuses while one of its own swaps may still take effect, because the record would then name candidates unknown
// to the asking home.
func (t *Tenure) consentToHome(now time.Time, from string, end time.Time) bool {
	g := &t.givenConsents
	if t.store.unsettledCandidates != nil || now.Before(g.shareUntil) || now.Before(t.staticPermitsUntil) {
		return false
	}
	if g.home != from && now.Before(g.homeUntil) {
		return false
	}
	g.home = from
	g.homeUntil = later(g.homeUntil, end)
	return true
}

// consentToShare refuses while the store answers, because a takeover is then possible.
func (t *Tenure) consentToShare(now, end time.Time) bool {
	g := &t.givenConsents
	if now.Before(g.homeUntil) || !t.store.failing && !t.stopped {
		return false
	}
	g.shareUntil = later(g.shareUntil, end)
	return true
}

// ConsentGiven reports that a candidate gave its consent to an Ask sent at started.
func (t *Tenure) ConsentGiven(_, started time.Time, from string) {
	t.consentedAt[from] = later(t.consentedAt[from], started)
	if left, ok := t.presence.leavingSince[from]; ok && !started.Before(left) {
		t.presence.consentFinal[from] = true
	}
}

// ConsentDenied reports that a candidate refused its consent, and the highest epoch known to it.
func (t *Tenure) ConsentDenied(now time.Time, from string, epoch uint64) {
	delete(t.consentedAt, from)
	t.ObserveEpoch(now, epoch)
}

// consentRoundDue reports whether RenewInterval has passed since the last consent round.
func (t *Tenure) consentRoundDue(now time.Time) bool {
	return now.Sub(t.roundStartedAt) >= t.cfg.RenewInterval
}

// startConsentRound asks all voters for their consent. This instance counts as consenting from now on.
func (t *Tenure) startConsentRound(now time.Time) []Action {
	t.roundStartedAt = now
	t.consentedAt[t.cfg.Self.ID] = now
	to := slices.DeleteFunc(t.voters(), func(c Candidate) bool { return c.Address == "" })
	if len(to) == 0 {
		return nil
	}
	return []Action{{Kind: Ask, Epoch: t.record.Epoch, To: to, ConsentDuration: t.cfg.RightDuration}}
}

// voters returns the other instances whose consent is required: the candidates in the record and in a swap that may
// still take effect. If one of them has ended, it may have taken over unnoticed and named new candidates before it
// ended. In that case every listed or live instance is required as well.
func (t *Tenure) voters() []Candidate {
	var to []Candidate
	add := func(candidates []Candidate) (ended bool) {
		for _, c := range candidates {
			ended = ended || t.presence.ended[c.ID]
			if c.ID != t.cfg.Self.ID && !t.presence.needsNoConsent(c.ID) && !contains(to, c.ID) {
				to = append(to, c)
			}
		}
		return ended
	}
	ended := add(t.record.Candidates)
	if add(t.store.unsettledCandidates) || ended {
		add(t.presence.live)
		add(t.presence.listedNotLive())
	}
	return to
}
