package capacity

import "time"

// Cold reports whether the server is in cold start.
func (s *Server) Cold() bool { return s.cold }

// Unknown reports whether a report of the occupancy is still awaited.
func (s *Server) Unknown() bool { return s.unknown }

// Probation reports whether the server is probed only.
func (s *Server) Probation() bool { return s.watch.active }

// NextProbe returns when the next probe is due; zero outside probation.
func (s *Server) NextProbe() time.Time {
	if !s.watch.active {
		return time.Time{}
	}
	return s.watch.next
}

// Factor returns how many times slower than its class the server answers, at least 0.25.
func (s *Server) Factor() float64 {
	if s.watch.factor == 0 {
		return 1
	}
	return max(0.25, s.watch.factor)
}

// Class returns what is learned together with other servers.
func (s *Server) Class() *Class { return s.class }

// Queued returns the requests that waited inside the server at the last report.
func (s *Server) Queued() int { return s.last.Waiting }

// WithoutReports reports whether no load report can be waited for.
func (s *Server) WithoutReports() bool { return s.noReports && !s.reported }
