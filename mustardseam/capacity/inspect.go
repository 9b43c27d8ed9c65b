package capacity

import "time"

// Cold reports whether the server is in cold start.
func (s *Server) Cold() bool { return s.cold }

// AwaitingReport reports whether no request may be granted before a load report shows the occupancy.
func (s *Server) AwaitingReport() bool { return s.awaitingReport }

// InProbation reports whether the server gets only probes.
func (s *Server) InProbation() bool { return s.probation.active }

// NextProbe returns when the next probe is due; zero if the server is not in probation.
func (s *Server) NextProbe() time.Time {
	if !s.probation.active {
		return time.Time{}
	}
	return s.probation.nextProbe
}

// Slowness returns the slowdown of the server relative to its class, at least 0.25; 1 if it is unknown.
func (s *Server) Slowness() float64 {
	if s.probation.slowness == 0 {
		return 1
	}
	return max(0.25, s.probation.slowness)
}

// Class returns the server's class.
func (s *Server) Class() *Class { return s.class }

// QueuedInside returns the number of requests queued inside the server at the last report.
func (s *Server) QueuedInside() int { return s.lastReport.Waiting }

// NeverReports reports whether no load report can be expected: the server is configured to send none and has sent none.
func (s *Server) NeverReports() bool { return s.sendsNoReports && !s.hasReported }
