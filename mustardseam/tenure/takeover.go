package tenure

import "time"

// takeoverDue reports whether this instance should write itself into the record as home: a read made since the
// vacancy began shows the record as vacant, no consent given by this instance is still valid, and its stagger delay
// has passed.
func (t *Tenure) takeoverDue(now time.Time, v View) bool {
	since := t.presence.vacantSince
	if since.IsZero() || t.store.failing || t.store.recordStale || t.store.pendingSwap != nil || t.recordMayBeStale() {
		return false
	}
	if t.recordReadAt.Before(since) && t.recordExists && !t.record.Released {
		return false
	}
	if now.Before(t.givenConsents.until()) || !v.Listed[t.cfg.Self.ID] || !t.eligible(t.cfg.Self.ID) {
		return false
	}
	return now.Sub(since) >= time.Duration(t.takeoverRank(v))*t.cfg.TakeoverStagger
}

// eligible reports whether the instance may succeed the home of the record: as one of its candidates, or as any
// instance once none of the candidates can act any more. The restriction is needed because a home that continues by
// consent asks only the candidates.
func (t *Tenure) eligible(id string) bool {
	if !t.recordExists || t.record.has(id) {
		return true
	}
	if !t.record.Released && !t.presence.ended[t.record.Home] {
		return false
	}
	for _, c := range t.record.Candidates {
		if c.ID != t.record.Home && !t.presence.ended[c.ID] && !t.presence.leaving[c.ID] {
			return false
		}
	}
	return true
}

// takeoverRank returns the number of eligible live instances that precede this one. The first takes over immediately;
// the others only act in case those before them cannot reach the store.
func (t *Tenure) takeoverRank(v View) int {
	n := 0
	for _, c := range v.Preferred {
		if c.ID == t.cfg.Self.ID {
			return n
		}
		if t.eligible(c.ID) {
			n++
		}
	}
	return n
}

// nextRecord returns the record that makes this instance home.
func (t *Tenure) nextRecord(now time.Time, v View) (time.Time, Record) {
	return now, Record{
		Epoch:      t.highestEpoch + 1,
		Home:       t.cfg.Self.ID,
		Address:    t.cfg.Self.Address,
		Candidates: t.selectCandidates(v),
		Since:      now.Round(0),
	}
}

// selectCandidates returns this instance followed by the most preferred live instances that the list shows.
func (t *Tenure) selectCandidates(v View) []Candidate {
	list := []Candidate{t.cfg.Self}
	for _, c := range v.Preferred {
		if len(list) < t.cfg.MaxCandidates && c.ID != t.cfg.Self.ID && v.Listed[c.ID] {
			list = append(list, c)
		}
	}
	return list
}

// refreshCandidates rewrites the record when its candidates have differed from the view for TakeoverStagger. The home
// does so without a new wait, because its own right continues.
func (t *Tenure) refreshCandidates(now time.Time, v View) []Action {
	if v.Listed == nil || !t.superseded() && t.sameCandidates(t.selectCandidates(v)) {
		t.candidatesDifferSince = time.Time{}
		return nil
	}
	if t.candidatesDifferSince.IsZero() {
		t.candidatesDifferSince = now
	}
	if now.Sub(t.candidatesDifferSince) < t.cfg.TakeoverStagger || t.store.pendingSwap != nil || t.store.recordStale || t.storeSlow(now) || t.recordMayBeStale() {
		return nil
	}
	return t.startSwap(t.nextRecord(now, v))
}

func (t *Tenure) sameCandidates(list []Candidate) bool {
	if len(list) != len(t.record.Candidates) {
		return false
	}
	for _, c := range list {
		if !t.record.has(c.ID) {
			return false
		}
	}
	return true
}
