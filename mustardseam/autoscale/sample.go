package autoscale

import "time"

// sample is the demand in the time between two observations.
type sample struct {
	at        time.Time
	seconds   float64 // Length of the time.
	arrived   float64 // Attempts, of which retries of refused ones count half.
	work      float64 // Expected units of work of these attempts.
	backlog   float64 // Expected units of work of the waiting requests.
	started   float64 // Expected units of work of the requests that were sent to backend servers.
	workRate  float64 // Units of work per second that the backend servers did.
	busy      float64 // Share of their capacity that the backend servers used that could be reached.
	undamaged bool    // No backend server is missing or leaving, so that started and workRate can be compared.
}

// newSample returns the sample for an observation that is made a time after the previous one.
func newSample(now time.Time, span time.Duration, o Observation, waitedBefore int) sample {
	s := sample{at: now, seconds: span.Seconds(), undamaged: len(o.Servers) > 0}
	var reachable, used float64
	for _, srv := range o.Servers {
		s.workRate += srv.workRate()
		if !srv.Crashed && !srv.Draining {
			reachable += srv.capacity()
			used += srv.workRate()
		}
		s.undamaged = s.undamaged && !srv.Crashed && !srv.Draining
	}
	if reachable > 0 {
		s.busy = used / reachable
	}
	if o.Arrived == 0 {
		return s
	}
	// Callers retry a refused request once. With a refused share r, the attempts are 1+r times the requests, of which about r
	// are refused. Half of the refusals is left out: with retries, the rest exceeds the requests by r/2, and without retries
	// it falls short of them by r/2. Either way the rest is above what was served, so that a full service is seen as such.
	mean := o.Work / float64(o.Arrived)
	s.arrived = float64(o.Arrived) - float64(min(o.Refused, o.Arrived))/2
	s.work = mean * s.arrived
	s.backlog = mean * float64(o.Waiting)
	s.started = max(0, mean*float64(o.Arrived-o.Refused-int64(o.Waiting-waitedBefore)))
	return s
}
