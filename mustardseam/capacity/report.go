package capacity

// Report takes in a load report; one that was already taken in, or is older, says nothing new.
func (s *Server) Report(r Reading) {
	restarted := s.reported && r.Sequence < s.last.Sequence
	if s.reported && r.Sequence == s.last.Sequence || restarted && !r.Taken.After(s.last.Taken) {
		return
	}
	s.reported = true
	s.last = r
	switch {
	case restarted, r.Cold:
		if !s.cold || r.Taken.After(s.coldAt) {
			s.chill(r.Taken)
		}
	case s.cold && r.Taken.After(s.coldAt):
		s.cold = false
		s.ramp = s.limits.Cold
		s.coldAt = r.Taken
	}
	if !s.cold {
		s.class.reported(r)
	}
	s.count(r)
}

// count bounds the number of requests that this home does not track: at least what the report shows beyond those of
// this home that may have run at that moment, at most what it shows beyond those that certainly ran.
func (s *Server) count(r Reading) {
	kept := s.lingers[:0]
	for _, at := range s.lingers {
		if at.Before(r.Taken) {
			s.others++
		} else {
			kept = append(kept, at)
		}
	}
	s.lingers = kept
	slack := usualSlack
	if s.cold || s.unknown {
		slack = startSlack
	}
	sure, possible := s.own.at(r.Taken, slack)
	total := r.Running + r.Waiting
	low, high := max(0, total-possible), max(0, total-sure)
	switch {
	case s.unknown && r.Taken.After(s.since):
		s.unknown = false
		s.others = high
	case s.shared:
		s.others = high
	default:
		s.others = max(low, min(s.others, high))
	}
	s.own.prune(r.Taken)
}
