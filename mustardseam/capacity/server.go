package capacity

import "time"

// Server is the occupancy and the present limit of one backend server.
type Server struct {
	limits      Limits
	class       *Class
	own         history
	others      int         // Upper bound of running requests that this home does not track.
	unconfirmed []time.Time // Ends, by this home's account, that a report has to confirm.
	unknown     bool        // No grant before a report taken after since.
	since       time.Time   // Of the baseline.
	reported    bool
	heard       time.Time // When the last report arrived.
	queued      int       // Reports in a row with requests waiting inside the server.
	last        Reading
	held        Reading // Too fresh to lower others; no sequence when there is none.
	cold        bool
	coldAt      time.Time
	brokeAt     time.Time // When the newest broken request ended.
	ramp        int       // Requests at a time that evidence allows while warm.
	watch       probation
	shared      bool // Other instances dispatch too.
	noReports   bool // None are expected.
}

// NewServer returns a server that counts as cold and idle.
func NewServer(l Limits, c *Class) *Server {
	return &Server{limits: l, class: c, cold: true, ramp: l.Cold}
}

// Configure changes limits and class; a server of another class is cold.
func (s *Server) Configure(now time.Time, l Limits, c *Class) {
	if c != s.class {
		s.setCold(now)
		s.Leave()
	}
	s.limits, s.class = l, c
	s.ramp = min(max(s.ramp, l.Cold), max(l.Warm, l.Cold))
}

// Leave ends the server's probation, so that it no longer counts among the slow members of its class.
func (s *Server) Leave() {
	if s.watch.active && s.watch.slow {
		s.class.slow--
	}
	s.watch = probation{}
}

// Baseline stops grants until a report that was taken after the given time shows the occupancy. A server without
// reports starts at the cold limit.
func (s *Server) Baseline(now time.Time) {
	if s.WithoutReports() {
		s.setCold(now)
		return
	}
	s.unknown = true
	s.since = now
}

// Share tells whether other instances dispatch to the server too, of whose requests only reports tell.
func (s *Server) Share(shared bool) { s.shared = shared }

// SetReports tells whether the server sends load reports. Plain services do not; their answers show that they are warm.
func (s *Server) SetReports(reports bool) { s.noReports = !reports }

// Limit returns how many requests the server may run at a time.
func (s *Server) Limit() int {
	if s.unknown {
		return 0
	}
	if s.watch.active {
		return min(1, s.limits.Cold)
	}
	if s.cold {
		return s.limits.Cold
	}
	return min(s.class.limit(s.limits.Warm), s.ramp)
}

// Full returns how many requests the server may run at a time once it is warm and in good state.
func (s *Server) Full() int { return s.class.limit(s.limits.Warm) }

// Room returns how many more requests may be dispatched when the limit is divided among the given number of instances.
func (s *Server) Room(instances int) int {
	if instances > 1 {
		return max(0, s.divided(instances)-s.Others())/instances - s.Own()
	}
	return s.Limit() - s.Occupancy()
}

// divided returns the limit that is divided among instances. A server whose reports show it warm bears one request of
// each instance; the ramp, which rises by own answers only, would otherwise never leave zero.
func (s *Server) divided(instances int) int {
	limit := s.Limit()
	if s.unknown || s.cold || s.watch.active {
		return limit
	}
	return max(limit, min(instances, s.class.limit(s.limits.Warm)))
}

// Own returns the number of requests that this home dispatched and has not seen end.
func (s *Server) Own() int { return len(s.own.running) }

// Others returns the number of other requests that may be running.
func (s *Server) Others() int { return s.others + len(s.unconfirmed) }

// Occupancy returns the number of requests that may be running.
func (s *Server) Occupancy() int { return s.Own() + s.Others() }

// Dispatched counts a request that was granted at the given time.
func (s *Server) Dispatched(now time.Time) { s.own.start(now) }

// Orphan keeps a request of a dead instance counted until a report shows that it has ended.
func (s *Server) Orphan(now, granted time.Time) {
	if !s.own.end(granted, now) {
		return
	}
	at := granted.Add(startSlack)
	if at.Before(now) {
		at = now
	}
	s.unconfirmed = append(s.unconfirmed, at)
}

// Finished takes in the end of a request.
func (s *Server) Finished(now time.Time, m Sample) {
	if !s.own.end(m.Granted, now) {
		return
	}
	if m.MayRun && !s.WithoutReports() {
		s.unconfirmed = append(s.unconfirmed, now)
	}
	if m.Cold || m.Broke && s.collapsed(now) {
		s.setCold(now)
	}
	slow := 0.0
	if m.OK && !s.cold {
		slow = s.class.observe(m)
	}
	if m.OK && !m.Cold {
		s.raiseLimit(m)
	}
	if m.OK || m.Failed {
		s.inspect(now, m, slow)
	}
}

// collapse is the time within which two broken requests count as a server that fell over: all that it runs breaks at once.
const collapse = 250 * time.Millisecond

// collapsed notes a broken request and reports whether it follows another one closely. A server that turned cold without
// warning breaks what it runs before its load report shows why.
func (s *Server) collapsed(now time.Time) bool {
	before := s.brokeAt
	s.brokeAt = now
	return !before.IsZero() && now.Sub(before) <= collapse
}

// inspect watches for probation. At most a third of a class is put there for being slow, since slowness is relative.
func (s *Server) inspect(now time.Time, m Sample, slow float64) {
	before := s.watch
	mayBeSlow := s.class.Known() && 3*(s.class.slow+1) <= s.class.Servers
	left := s.watch.observe(now, m, slow, mayBeSlow)
	switch {
	case left && before.refused:
		// The refusals say nothing against the limit before them; a cold start has already lowered it.
		s.ramp = max(1, s.ramp/2)
	case left:
		s.ramp = 1
		if before.slow {
			s.class.slow--
		}
	case !before.active && s.watch.active && s.watch.slow:
		s.class.slow++
	}
}

// raiseLimit raises the limit by one, and by a quarter when that is more, for each answer that was both dispatched and
// completed while the server was warm. Steps of one alone would take a server through several durations of a long
// request before it is full.
func (s *Server) raiseLimit(m Sample) {
	if !m.Granted.After(s.coldAt) {
		return
	}
	if s.cold && s.WithoutReports() {
		s.cold = false
	}
	if !s.cold && !s.watch.active {
		s.ramp = min(s.ramp+max(1, s.ramp/4), s.limits.Warm)
	}
}

// setCold puts the server back to the cold limit; what runs stays counted.
func (s *Server) setCold(now time.Time) {
	s.cold = true
	s.coldAt = now
	s.ramp = s.limits.Cold
}
