package capacity

import "time"

// Server tracks the occupancy and the current limit of one backend server.
type Server struct {
	limits           Limits
	class            *Class
	own              requestHistory // Requests of this home instance.
	reportedOthers   int            // Upper bound of the untracked running requests, without unconfirmedEnds.
	unconfirmedEnds  []time.Time    // Times at which requests probably ended, to be confirmed by a report.
	awaitingReport   bool           // Whether no request may be granted until a report taken after awaitedSince arrives.
	awaitedSince     time.Time      // Time of the last AwaitFreshReport call.
	hasReported      bool           // Whether a report has arrived.
	lastReportAt     time.Time      // Time at which the last report arrived.
	reportsWithQueue int            // Consecutive reports with requests queued inside the server.
	lastReport       LoadReport     // Last report.
	// Report that may lower reportedOthers only once the outcomes of the requests that ended before it have arrived; its
	// Sequence is 0 if there is none.
	pendingReport  LoadReport
	cold           bool      // Whether the server is in cold start.
	coldEvidenceAt time.Time // Time of the last evidence for or against a cold start.
	lastAbortedAt  time.Time // Time at which the last aborted request ended.
	rampLimit      int       // Concurrent requests allowed while warm; raised by successful answers.
	probation      probationState
	shared         bool // Whether other instances grant requests to the server too.
	sendsNoReports bool // Whether the server is configured to send no load reports.
}

// NewServer returns a server without requests in cold start.
func NewServer(l Limits, c *Class) *Server {
	return &Server{limits: l, class: c, cold: true, rampLimit: l.Cold}
}

// Configure changes the limits and the class. A server that changes its class is in cold start.
func (s *Server) Configure(now time.Time, l Limits, c *Class) {
	if c != s.class {
		s.setCold(now)
		s.ClearProbation()
	}
	s.limits, s.class = l, c
	s.rampLimit = min(max(s.rampLimit, l.Cold), max(l.Warm, l.Cold))
}

// ClearProbation ends the server's probation, so that it no longer counts as a slow server of its class.
func (s *Server) ClearProbation() {
	if s.probation.active && s.probation.slow {
		s.class.slowMembers--
	}
	s.probation = probationState{}
}

// AwaitFreshReport stops grants until a report taken after the given time shows the occupancy, which replaces the
// counts of other requests. A server without reports starts at the cold limit instead.
func (s *Server) AwaitFreshReport(now time.Time) {
	if s.NeverReports() {
		s.setCold(now)
		return
	}
	s.awaitingReport = true
	s.awaitedSince = now
}

// SetShared sets whether other instances grant requests to the server too. Their requests are known only from reports.
func (s *Server) SetShared(shared bool) { s.shared = shared }

// SetSendsReports sets whether the server sends load reports. Plain services send none; their answers show that they
// are warm.
func (s *Server) SetSendsReports(reports bool) { s.sendsNoReports = !reports }

// Limit returns the current limit of concurrent requests.
func (s *Server) Limit() int {
	if s.awaitingReport {
		return 0
	}
	if s.probation.active {
		return min(1, s.limits.Cold)
	}
	if s.cold {
		return s.limits.Cold
	}
	return min(s.class.effectiveLimit(s.limits.Warm), s.rampLimit)
}

// WarmLimit returns the limit of concurrent requests when the server is warm and not in probation.
func (s *Server) WarmLimit() int { return s.class.effectiveLimit(s.limits.Warm) }

// Room returns how many more requests this instance may grant if the given number of instances divide the limit. It
// may be negative.
func (s *Server) Room(instances int) int {
	if instances > 1 {
		return max(0, s.dividedLimit(instances)-s.Others())/instances - s.Own()
	}
	return s.Limit() - s.Occupancy()
}

// dividedLimit returns the limit that the instances divide. If reports show that the server is warm, it allows at least
// one request for each instance, as far as the warm limit permits. Without this minimum, the share of an instance could
// stay 0, because the ramp rises only with the instance's own answers.
func (s *Server) dividedLimit(instances int) int {
	limit := s.Limit()
	if s.awaitingReport || s.cold || s.probation.active {
		return limit
	}
	return max(limit, min(instances, s.class.effectiveLimit(s.limits.Warm)))
}

// Own returns the number of requests that this home instance granted and whose end it has not recorded.
func (s *Server) Own() int { return len(s.own.running) }

// Others returns the number of other requests that may be running, including those whose end is not confirmed.
func (s *Server) Others() int { return s.reportedOthers + len(s.unconfirmedEnds) }

// Occupancy returns the number of all requests that may be running.
func (s *Server) Occupancy() int { return s.Own() + s.Others() }

// RecordGrant counts a request from its grant on. The entry instance may start it up to maxStartDelay later, or never.
func (s *Server) RecordGrant(now time.Time) { s.own.start(now) }

// Orphan keeps a request of an entry instance that is gone counted until a report shows that it has ended.
func (s *Server) Orphan(now, granted time.Time) {
	if !s.own.end(granted, now) {
		return
	}
	at := granted.Add(maxStartDelay)
	if at.Before(now) {
		at = now
	}
	s.unconfirmedEnds = append(s.unconfirmedEnds, at)
}

// Finished records the end of a request. It ignores requests that are not running.
func (s *Server) Finished(now time.Time, sample Sample) {
	if !s.own.end(sample.Granted, now) {
		return
	}
	if sample.MayRun && !s.NeverReports() {
		s.unconfirmedEnds = append(s.unconfirmedEnds, now)
	}
	if sample.Cold || sample.Aborted && s.recordAborted(now) {
		s.setCold(now)
	}
	slowness := 0.0
	if sample.OK && !s.cold {
		slowness = s.class.observe(sample)
	}
	if sample.OK && !sample.Cold {
		s.recordSuccess(sample)
	}
	if sample.OK || sample.Failed {
		s.updateProbation(now, sample, slowness)
	}
}

// crashWindow is the time within which a second aborted request is taken as a crash of the server, which aborts all its
// requests at once.
const crashWindow = 250 * time.Millisecond

// recordAborted records a request that the server aborted, and reports whether it closely follows another one. A server
// that becomes cold without warning aborts its requests before its load report shows the cause.
func (s *Server) recordAborted(now time.Time) bool {
	before := s.lastAbortedAt
	s.lastAbortedAt = now
	return !before.IsZero() && now.Sub(before) <= crashWindow
}

// updateProbation updates the probation from a sample. At most a third of a class is in probation for slowness, because
// slowness is relative to the class.
func (s *Server) updateProbation(now time.Time, sample Sample, slowness float64) {
	before := s.probation
	mayBeSlow := s.class.SpeedsKnown() && 3*(s.class.slowMembers+1) <= s.class.MemberCount
	exited := s.probation.observe(now, sample, slowness, mayBeSlow)
	switch {
	case exited && before.dueToRefusals:
		// Refusals are no evidence against the earlier limit. A cold start has already lowered it.
		s.rampLimit = max(1, s.rampLimit/2)
	case exited:
		s.rampLimit = 1
		if before.slow {
			s.class.slowMembers--
		}
	case !before.active && s.probation.active && s.probation.slow:
		s.class.slowMembers++
	}
}

// recordSuccess raises the limit by one, or by a quarter if that is more, for each answer that was both granted and
// completed while the server was warm. With steps of one, filling the server would take
// several times the duration of a long request. For a server without reports, the answer also ends the cold start.
func (s *Server) recordSuccess(sample Sample) {
	if !sample.Granted.After(s.coldEvidenceAt) {
		return
	}
	if s.cold && s.NeverReports() {
		s.cold = false
	}
	if !s.cold && !s.probation.active {
		s.rampLimit = min(s.rampLimit+max(1, s.rampLimit/4), s.limits.Warm)
	}
}

// setCold puts the server into cold start with the cold limit. Running requests stay counted.
func (s *Server) setCold(now time.Time) {
	s.cold = true
	s.coldEvidenceAt = now
	s.rampLimit = s.limits.Cold
}
