package fleet

import "time"

// Route says where the requests of a host and path prefix go and how they are treated.
type Route struct {
	Name      string
	Host      string
	Prefix    string // Begins and ends with a slash.
	Kind      Kind
	Timeout   time.Duration // From the arrival of a request to its final answer; 0 for none.
	Objective time.Duration // Time to the answer, or to the first event, that callers hope for.
	Gap       time.Duration // Longest pause between events that callers hope for; 0 for none.
	Tier      int           // 0 is served first.
	Targets   []Target
	Attempts  int  // Backend servers that may run one request, at least 1.
	Public    bool // Needs no key.
	Resumable bool // A stream may go on at another backend server.
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request of the route may be sent again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Pick returns the service for a point in [0, 1); it is empty when no target has weight.
func (r *Route) Pick(point float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point *= total
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return ""
}
