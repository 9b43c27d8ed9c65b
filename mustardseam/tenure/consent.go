package tenure

import (
	"slices"
	"time"
)

// promise is what this instance consented to.
type promise struct {
	home     string    // Incarnation that may act as home.
	homeEnd  time.Time // No takeover and no static share before then.
	shareEnd time.Time // No takeover and no consent to a home before then.
}

func (p *promise) until() time.Time { return later(p.homeEnd, p.shareEnd) }

// Consent answers another instance's Ask: whether the consent is given for hold, and the highest epoch seen here. The
// home of the record asks to go on as home; any other candidate asks to grant its static share.
func (t *Tenure) Consent(now time.Time, from string, epoch uint64, hold time.Duration) (bool, uint64) {
	if epoch < t.seen || t.Holding() || from == t.cfg.Self.ID {
		return false, t.seen
	}
	t.raise(epoch)
	end := now.Add(t.cfg.drifted(hold))
	if home := t.homeOf(epoch); home != "" && home != from {
		return t.consentToShare(now, end), t.seen
	}
	return t.consentToHome(now, from, end), t.seen
}

// homeOf returns the home of the epoch, or "" when it is not known.
func (t *Tenure) homeOf(epoch uint64) string {
	switch {
	case t.exists && t.rec.Epoch == epoch:
		return t.rec.Home
	case t.hint.Epoch == epoch:
		return t.hint.Home
	default:
		return ""
	}
}

// consentToHome also serves a candidate that has not read the record of the epoch yet. It cannot tell a home from a
// sharer then, so it consents to one instance at a time. It refuses while a swap of its own may still take effect, since
// the record would then name candidates that the asking home does not know.
func (t *Tenure) consentToHome(now time.Time, from string, end time.Time) bool {
	p := &t.promise
	if t.store.doubt != nil || now.Before(p.shareEnd) || now.Before(t.staticUntil) {
		return false
	}
	if p.home != from && now.Before(p.homeEnd) {
		return false
	}
	p.home = from
	p.homeEnd = later(p.homeEnd, end)
	return true
}

// consentToShare refuses while the store answers, because a takeover is possible then.
func (t *Tenure) consentToShare(now, end time.Time) bool {
	p := &t.promise
	if now.Before(p.homeEnd) || !t.store.failing && !t.closed {
		return false
	}
	p.shareEnd = later(p.shareEnd, end)
	return true
}

// Consented reports that a candidate consented to an Ask that was sent at started.
func (t *Tenure) Consented(_, started time.Time, from string) {
	t.consents[from] = later(t.consents[from], started)
	if left, ok := t.presence.leftAt[from]; ok && !started.Before(left) {
		t.presence.waived[from] = true
	}
}

// Denied reports that a candidate refused, and the highest epoch that it has seen.
func (t *Tenure) Denied(now time.Time, from string, epoch uint64) {
	delete(t.consents, from)
	t.SeenEpoch(now, epoch)
}

func (t *Tenure) askDue(now time.Time) bool { return now.Sub(t.asked) >= t.cfg.Renew }

// ask starts a round among all voters.
func (t *Tenure) ask(now time.Time) []Action {
	t.asked = now
	t.consents[t.cfg.Self.ID] = now
	to := slices.DeleteFunc(t.voters(), func(c Candidate) bool { return c.Address == "" })
	if len(to) == 0 {
		return nil
	}
	return []Action{{Kind: Ask, Epoch: t.rec.Epoch, To: to, Hold: t.cfg.GrantRight}}
}

// voters returns the other instances whose consent is needed: the candidates, in the record and in a swap that may still
// take effect. When one of them has ended, it may have taken over before, unnoticed, and have named new candidates. So
// every instance that is listed or live is needed then.
func (t *Tenure) voters() []Candidate {
	var to []Candidate
	add := func(candidates []Candidate) (ended bool) {
		for _, c := range candidates {
			ended = ended || t.presence.gone[c.ID]
			if c.ID != t.cfg.Self.ID && !t.presence.excused(c.ID) && !contains(to, c.ID) {
				to = append(to, c)
			}
		}
		return ended
	}
	ended := add(t.rec.Candidates)
	if add(t.store.doubt) || ended {
		add(t.presence.live)
		add(t.presence.unreached())
	}
	return to
}
