package tenure

import "time"

// takeoverDue tells whether this instance is to swap itself in as home: the record is vacant by a read made since the
// vacancy began, no promise given is running, and it is this instance's turn.
func (t *Tenure) takeoverDue(now time.Time, v View) bool {
	since := t.presence.vacant
	if since.IsZero() || t.store.failing || t.store.stale || t.store.pending != nil || t.behind() {
		return false
	}
	if t.learnt.Before(since) && t.exists && !t.rec.Released {
		return false
	}
	if now.Before(t.promise.until()) || !v.Listed[t.cfg.Self.ID] || !t.mayRun(t.cfg.Self.ID) {
		return false
	}
	return now.Sub(since) >= time.Duration(t.rank(v))*t.cfg.Stagger
}

// mayRun tells whether the instance may follow the record: as one of its candidates, or as anyone once none of these can
// act any more. A home that goes on by consent asks the candidates only.
func (t *Tenure) mayRun(id string) bool {
	if !t.exists || t.rec.has(id) {
		return true
	}
	if !t.rec.Released && !t.presence.gone[t.rec.Home] {
		return false
	}
	for _, c := range t.rec.Candidates {
		if c.ID != t.rec.Home && !t.presence.gone[c.ID] && !t.presence.leaving[c.ID] {
			return false
		}
	}
	return true
}

// rank returns how many live instances come before this one. The first takes over at once; the others do only in case
// those before them cannot reach the store.
func (t *Tenure) rank(v View) int {
	n := 0
	for _, c := range v.Preferred {
		if c.ID == t.cfg.Self.ID {
			return n
		}
		if t.mayRun(c.ID) {
			n++
		}
	}
	return n
}

// successor returns the record that makes this instance home.
func (t *Tenure) successor(now time.Time, v View) (time.Time, Record) {
	return now, Record{
		Epoch:      t.seen + 1,
		Home:       t.cfg.Self.ID,
		Address:    t.cfg.Self.Address,
		Candidates: t.candidates(v),
		Since:      now.Round(0),
	}
}

// candidates returns this instance and the most preferred ones that the list shows.
func (t *Tenure) candidates(v View) []Candidate {
	list := []Candidate{t.cfg.Self}
	for _, c := range v.Preferred {
		if len(list) < t.cfg.MaxCandidates && c.ID != t.cfg.Self.ID && v.Listed[c.ID] {
			list = append(list, c)
		}
	}
	return list
}

// updateCandidates renews the record when its candidates have differed from the view for a while. A home that took over
// does so without a wait, because its own right goes on.
func (t *Tenure) updateCandidates(now time.Time, v View) []Action {
	if v.Listed == nil || !t.superseded() && t.sameCandidates(t.candidates(v)) {
		t.differs = time.Time{}
		return nil
	}
	if t.differs.IsZero() {
		t.differs = now
	}
	if now.Sub(t.differs) < t.cfg.Stagger || t.store.pending != nil || t.store.stale || t.slow(now) || t.behind() {
		return nil
	}
	return t.swap(t.successor(now, v))
}

func (t *Tenure) sameCandidates(list []Candidate) bool {
	if len(list) != len(t.rec.Candidates) {
		return false
	}
	for _, c := range list {
		if !t.rec.has(c.ID) {
			return false
		}
	}
	return true
}
