package tenure

import "time"

// presence is what the last View says of the instances that matter to the record.
type presence struct {
	absent  map[string]time.Time // By incarnation: since when it is neither listed nor heard.
	gone    map[string]bool      // Absent for long enough to count as ended.
	leaving map[string]bool
	leftAt  map[string]time.Time // Since when an instance is known to be leaving.
	waived  map[string]bool      // Consented after they had stopped, which holds for good.
	vacant  time.Time            // Since when the record has no live home; zero while it has one.
	listed  map[string]bool
	live    []Candidate
}

// excused tells whether the instance can neither take over nor grant any more.
func (p *presence) excused(id string) bool { return p.gone[id] || p.waived[id] }

// unreached returns the listed instances that are not live; their addresses are not known.
func (p *presence) unreached() []Candidate {
	var list []Candidate
	for id, shown := range p.listed {
		if shown && !contains(p.live, id) {
			list = append(list, Candidate{ID: id})
		}
	}
	return list
}

// notice takes the View of a Step.
func (t *Tenure) notice(now time.Time, v View) {
	p := &t.presence
	p.gone = map[string]bool{}
	absent := map[string]time.Time{}
	for _, id := range t.involved() {
		if v.Listed == nil || v.Listed[id] || !v.suspected(id) {
			continue
		}
		since, ok := p.absent[id]
		if !ok {
			since = now
		}
		absent[id] = since
		p.gone[id] = now.Sub(since) >= t.cfg.ExcuseAfter
	}
	p.absent = absent
	p.leaving, p.listed, p.live = v.Leaving, v.Listed, v.Preferred
	for id := range v.Leaving {
		if _, ok := p.leftAt[id]; !ok && v.Leaving[id] {
			p.leftAt[id] = now
		}
	}
	t.noticeVacancy(now, v)
}

func (t *Tenure) noticeVacancy(now time.Time, v View) {
	switch {
	case !t.vacant(v):
		t.presence.vacant = time.Time{}
	case t.presence.vacant.IsZero():
		t.presence.vacant = now
	}
}

// involved returns the incarnations in the record and in a swap that may still take effect.
func (t *Tenure) involved() []string {
	ids := []string{t.rec.Home}
	for _, c := range t.rec.Candidates {
		ids = append(ids, c.ID)
	}
	for _, c := range t.store.doubt {
		ids = append(ids, c.ID)
	}
	return ids
}

// vacant tells whether the record has no home that shows signs of life.
func (t *Tenure) vacant(v View) bool {
	return t.known && !t.Holding() && (!t.exists || t.rec.Released || v.suspected(t.rec.Home))
}

func contains(candidates []Candidate, id string) bool {
	for _, c := range candidates {
		if c.ID == id {
			return true
		}
	}
	return false
}
