package capacity

import "time"

// minQueuedReports is the number of consecutive reports with queued requests from which the learned concurrency is
// lowered. A single report may only show a request that arrived between two steps of the engine.
const minQueuedReports = 3

// silenceTimeout is the time without reports after which the server is assumed to have been unreachable. It spans
// several report periods.
const silenceTimeout = 3 * time.Second

// Report processes a load report that arrives now. Reports that are repeated or older than the last one are ignored.
func (s *Server) Report(now time.Time, r Reading) {
	restarted := s.hasReported && r.Sequence < s.lastReading.Sequence
	if s.hasReported && r.Sequence == s.lastReading.Sequence || restarted && !r.Taken.After(s.lastReading.Taken) {
		return
	}
	if s.hasReported && now.Sub(s.lastReportAt) >= silenceTimeout {
		s.probation.probeNow(now)
	}
	s.hasReported = true
	s.lastReportAt = now
	s.lastReading = r
	s.updateCold(r, restarted)
	s.queuedReports++
	if r.Waiting == 0 {
		s.queuedReports = 0
	}
	if !s.cold {
		s.class.learnConcurrency(r, s.queuedReports >= minQueuedReports)
	}
	s.updateOthers(now, r)
}

// updateCold updates the cold start state. A restart always begins a cold start, whatever the report says.
func (s *Server) updateCold(r Reading, restarted bool) {
	switch {
	case restarted, r.Cold:
		if !s.cold || r.Taken.After(s.coldChangedAt) {
			s.setCold(r.Taken)
		}
	case s.cold && r.Taken.After(s.coldChangedAt):
		s.cold = false
		s.rampLimit = s.limits.Cold
		s.coldChangedAt = r.Taken
	}
}

// updateOthers updates the upper bound on the requests that this home instance does not track. A report raises the
// bound at once. It lowers the bound only when the outcomes of this instance's requests that ended before the report
// have arrived.
func (s *Server) updateOthers(now time.Time, r Reading) {
	if s.awaitingReport {
		s.takeBaseline(r)
		return
	}
	if s.pendingReading.Sequence > 0 && outcomesArrived(now, s.pendingReading) {
		s.lowerOthers(s.pendingReading)
		s.pendingReading = Reading{}
	}
	s.raiseOthers(r)
	if outcomesArrived(now, r) {
		s.lowerOthers(r)
	} else {
		s.pendingReading = r
	}
	if s.shared {
		s.others = r.total()
		if outcomesArrived(now, r) {
			s.others = s.maxOthers(r)
		}
	}
}

// takeBaseline sets the occupancy from the first report after a baseline.
func (s *Server) takeBaseline(r Reading) {
	if !r.Taken.After(s.baselineAt) {
		return
	}
	s.awaitingReport = false
	s.others = r.total()
	s.pendingReading = Reading{}
	s.confirmEnds(r)
}

// outcomesArrived reports whether the outcomes of requests that ended before the report have arrived.
func outcomesArrived(now time.Time, r Reading) bool { return !now.Before(r.Taken.Add(outcomeSkew)) }

// raiseOthers raises the bound to the requests in the report in excess of this instance's requests that may have run at
// that time.
func (s *Server) raiseOthers(r Reading) {
	_, possible := s.own.runningAt(r.Taken, 0)
	known := 0
	for _, at := range s.unconfirmedEnds {
		if at.Before(r.Taken) {
			known++
		}
	}
	s.others = max(s.others, r.total()-possible-known)
}

// lowerOthers lowers the bound to the requests in the report in excess of this instance's requests that certainly ran
// at that time.
func (s *Server) lowerOthers(r Reading) {
	s.others = min(s.others+s.confirmEnds(r), s.maxOthers(r))
	s.own.prune(r.Taken)
}

// maxOthers returns the number of requests in the report in excess of this instance's requests that certainly ran at
// that time.
func (s *Server) maxOthers(r Reading) int {
	startDelay := usualStartDelay
	if s.cold {
		startDelay = maxStartDelay
	}
	certain, _ := s.own.runningAt(r.Taken, startDelay)
	return max(0, r.total()-certain)
}

// confirmEnds deletes the unconfirmed ends before the report and returns their number.
func (s *Server) confirmEnds(r Reading) int {
	kept := s.unconfirmedEnds[:0]
	for _, at := range s.unconfirmedEnds {
		if !at.Before(r.Taken) {
			kept = append(kept, at)
		}
	}
	n := len(s.unconfirmedEnds) - len(kept)
	s.unconfirmedEnds = kept
	return n
}
