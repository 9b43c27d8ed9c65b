package tenure

import "time"

// presence is the state, according to the last View, of the instances that the record or an unsettled swap names.
type presence struct {
	absentSince  map[string]time.Time // By incarnation: start of its continuous absence, both from the list and from heartbeats.
	ended        map[string]bool      // Incarnations absent for at least EndedAfter, which count as ended.
	leaving      map[string]bool      // Incarnations that announced their stop.
	leavingSince map[string]time.Time // By incarnation: when its announced stop was first seen.
	consentFinal map[string]bool      // Incarnations that consented after they had stopped; this consent does not expire.
	vacantSince  time.Time            // Since when the record has had no live home; zero while it has one.
	listed       map[string]bool      // Incarnations that the platform's list shows; nil before the first list.
	live         []Candidate          // Live instances, this one included, in rendezvous order.
}

// needsNoConsent reports whether the instance can neither take over nor grant any more, so that its consent is not
// required.
func (p *presence) needsNoConsent(id string) bool { return p.ended[id] || p.consentFinal[id] }

// listedNotLive returns the instances that are listed but not live. Their addresses are unknown.
func (p *presence) listedNotLive() []Candidate {
	var list []Candidate
	for id, shown := range p.listed {
		if shown && !contains(p.live, id) {
			list = append(list, Candidate{ID: id})
		}
	}
	return list
}

// updatePresence updates the state from the View passed to Step.
func (t *Tenure) updatePresence(now time.Time, v View) {
	p := &t.presence
	p.ended = map[string]bool{}
	absent := map[string]time.Time{}
	for _, id := range t.relevantIDs() {
		if v.Listed == nil || v.Listed[id] || !v.suspected(id) {
			continue
		}
		since, ok := p.absentSince[id]
		if !ok {
			since = now
		}
		absent[id] = since
		p.ended[id] = now.Sub(since) >= t.cfg.EndedAfter
	}
	p.absentSince = absent
	p.leaving, p.listed, p.live = v.Leaving, v.Listed, v.Preferred
	for id := range v.Leaving {
		if _, ok := p.leavingSince[id]; !ok && v.Leaving[id] {
			p.leavingSince[id] = now
		}
	}
	t.updateVacancy(now, v)
}

// updateVacancy records when the record became vacant.
func (t *Tenure) updateVacancy(now time.Time, v View) {
	switch {
	case !t.isVacant(v):
		t.presence.vacantSince = time.Time{}
	case t.presence.vacantSince.IsZero():
		t.presence.vacantSince = now
	}
}

// relevantIDs returns the incarnations named by the record and by a swap that may still take effect.
func (t *Tenure) relevantIDs() []string {
	ids := []string{t.record.Home}
	for _, c := range t.record.Candidates {
		ids = append(ids, c.ID)
	}
	for _, c := range t.store.unsettledCandidates {
		ids = append(ids, c.ID)
	}
	return ids
}

// isVacant reports whether the record has no home that shows signs of life.
func (t *Tenure) isVacant(v View) bool {
	return t.recordRead && !t.NamedHome() && (!t.recordExists || t.record.Released || v.suspected(t.record.Home))
}

func contains(candidates []Candidate, id string) bool {
	for _, c := range candidates {
		if c.ID == id {
			return true
		}
	}
	return false
}
