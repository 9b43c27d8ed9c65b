package capacity

import "time"

// minQueuedReports is the number of consecutive reports with queued requests from which the learned concurrency is
// lowered. A single report may only show a request that arrived between two steps of the engine.
const minQueuedReports = 3

// silenceTimeout is the time without reports after which the server is assumed to have been unreachable. It spans
// several report periods.
const silenceTimeout = 3 * time.Second

// Report processes a load report that arrives now. Reports that are repeated or older than the last one are ignored.
func (s *Server) Report(now time.Time, r LoadReport) {
	restarted := s.hasReported && r.Sequence < s.lastReport.Sequence
	if s.hasReported && r.Sequence == s.lastReport.Sequence || restarted && !r.Taken.After(s.lastReport.Taken) {
		return
	}
	if s.hasReported && now.Sub(s.lastReportAt) >= silenceTimeout {
		s.probation.probeNow(now)
	}
	s.hasReported = true
	s.lastReportAt = now
	s.lastReport = r
	s.updateCold(r, restarted)
	s.reportsWithQueue++
	if r.Waiting == 0 {
		s.reportsWithQueue = 0
	}
	if !s.cold {
		s.class.learnConcurrency(r, s.reportsWithQueue >= minQueuedReports)
	}
	s.updateOthers(now, r)
}

// updateCold updates the cold start state. A restart always begins a cold start, whatever the report says.
func (s *Server) updateCold(r LoadReport, restarted bool) {
	switch {
	case restarted, r.Cold:
		if !s.cold || r.Taken.After(s.coldEvidenceAt) {
			s.setCold(r.Taken)
		}
	case s.cold && r.Taken.After(s.coldEvidenceAt):
		s.cold = false
		s.rampLimit = s.limits.Cold
		s.coldEvidenceAt = r.Taken
	}
}

// updateOthers updates the upper bound on the requests that this home instance does not track. A report raises the
// bound at once. It lowers the bound only when the outcomes of this instance's requests that ended before the report
// have arrived.
func (s *Server) updateOthers(now time.Time, r LoadReport) {
	if s.awaitingReport {
		s.applyFreshReport(r)
		return
	}
	if s.pendingReport.Sequence > 0 && outcomesArrived(now, s.pendingReport) {
		s.lowerOthers(s.pendingReport)
		s.pendingReport = LoadReport{}
	}
	s.raiseOthers(r)
	if outcomesArrived(now, r) {
		s.lowerOthers(r)
	} else {
		s.pendingReport = r
	}
	if s.shared {
		s.reportedOthers = r.total()
		if outcomesArrived(now, r) {
			s.reportedOthers = s.maxOthers(r)
		}
	}
}

// applyFreshReport sets the occupancy from the first report taken after the AwaitFreshReport call.
func (s *Server) applyFreshReport(r LoadReport) {
	if !r.Taken.After(s.awaitedSince) {
		return
	}
	s.awaitingReport = false
	s.reportedOthers = r.total()
	s.pendingReport = LoadReport{}
	s.confirmEnds(r)
}

// outcomesArrived reports whether the outcomes of requests that ended before the report have arrived.
func outcomesArrived(now time.Time, r LoadReport) bool { return !now.Before(r.Taken.Add(outcomeSkew)) }

// raiseOthers raises the bound to the requests in the report in excess of this instance's requests that may have run at
// that time.
func (s *Server) raiseOthers(r LoadReport) {
	_, possible := s.own.runningAt(r.Taken, 0)
	known := 0
	for _, at := range s.unconfirmedEnds {
		if at.Before(r.Taken) {
			known++
		}
	}
	s.reportedOthers = max(s.reportedOthers, r.total()-possible-known)
}

// lowerOthers lowers the bound to the requests in the report in excess of this instance's requests that certainly ran
// at that time.
func (s *Server) lowerOthers(r LoadReport) {
	s.reportedOthers = min(s.reportedOthers+s.confirmEnds(r), s.maxOthers(r))
	s.own.prune(r.Taken)
}

// maxOthers returns the number of requests in the report in excess of this instance's requests that certainly ran at
// that time.
func (s *Server) maxOthers(r LoadReport) int {
	startDelay := usualStartDelay
	if s.cold {
		startDelay = maxStartDelay
	}
	certain, _ := s.own.runningAt(r.Taken, startDelay)
	return max(0, r.total()-certain)
}

// confirmEnds deletes the unconfirmed ends before the report and returns their number.
func (s *Server) confirmEnds(r LoadReport) int {
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
