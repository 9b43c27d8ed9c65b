package capacity

import "time"

// queuedReports in a row with waiting requests lower the learned limit; a single one may only show a request that
// arrived between two steps of the engine.
const queuedReports = 3

// silence without reports is taken as a sign that the server was unreachable; it is several periods of reports.
const silence = 3 * time.Second

// Report takes in a load report that arrives now; one that was already taken in, or is older, says nothing new.
func (s *Server) Report(now time.Time, r Reading) {
	restarted := s.reported && r.Sequence < s.last.Sequence
	if s.reported && r.Sequence == s.last.Sequence || restarted && !r.Taken.After(s.last.Taken) {
		return
	}
	if s.reported && now.Sub(s.heard) >= silence {
		s.watch.reachable(now)
	}
	s.reported = true
	s.heard = now
	s.last = r
	s.followCold(r, restarted)
	s.queued++
	if r.Waiting == 0 {
		s.queued = 0
	}
	if !s.cold {
		s.class.reported(r, s.queued >= queuedReports)
	}
	s.count(now, r)
}

// followCold follows cold starts: a restart is one, whatever the report says.
func (s *Server) followCold(r Reading, restarted bool) {
	switch {
	case restarted, r.Cold:
		if !s.cold || r.Taken.After(s.coldAt) {
			s.setCold(r.Taken)
		}
	case s.cold && r.Taken.After(s.coldAt):
		s.cold = false
		s.ramp = s.limits.Cold
		s.coldAt = r.Taken
	}
}

// count bounds the number of requests that this home does not track. A report raises it at once, but lowers it only
// when it is old enough that the ends of this home's requests before it have become known.
func (s *Server) count(now time.Time, r Reading) {
	if s.unknown {
		s.first(r)
		return
	}
	if s.held.Sequence > 0 && settled(now, s.held) {
		s.lower(s.held)
		s.held = Reading{}
	}
	s.raise(r)
	if settled(now, r) {
		s.lower(r)
	} else {
		s.held = r
	}
	if s.shared {
		s.others = r.total()
		if settled(now, r) {
			s.others = s.most(r)
		}
	}
}

// first takes the whole occupancy from the first report after a baseline.
func (s *Server) first(r Reading) {
	if !r.Taken.After(s.since) {
		return
	}
	s.unknown = false
	s.others = r.total()
	s.held = Reading{}
	s.fold(r)
}

// settled reports whether the outcomes of requests that ended before the report have arrived.
func settled(now time.Time, r Reading) bool { return !now.Before(r.Taken.Add(endSlack)) }

// raise counts what the report shows beyond the requests of this home that may have run at that moment.
func (s *Server) raise(r Reading) {
	_, possible := s.own.at(r.Taken, 0)
	known := 0
	for _, at := range s.unconfirmed {
		if at.Before(r.Taken) {
			known++
		}
	}
	s.others = max(s.others, r.total()-possible-known)
}

// lower stops counting what the report does not show beyond the requests of this home that certainly ran.
func (s *Server) lower(r Reading) {
	s.others = min(s.others+s.fold(r), s.most(r))
	s.own.prune(r.Taken)
}

// most returns how many requests of others the report leaves room for.
func (s *Server) most(r Reading) int {
	slack := usualSlack
	if s.cold {
		slack = startSlack
	}
	sure, _ := s.own.at(r.Taken, slack)
	return max(0, r.total()-sure)
}

// fold removes the ended requests that the report covers and returns their number.
func (s *Server) fold(r Reading) int {
	kept := s.unconfirmed[:0]
	for _, at := range s.unconfirmed {
		if !at.Before(r.Taken) {
			kept = append(kept, at)
		}
	}
	n := len(s.unconfirmed) - len(kept)
	s.unconfirmed = kept
	return n
}
