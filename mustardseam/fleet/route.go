package fleet

import "time"

// Route defines which services handle the requests of a host and path prefix, and how.
type Route struct {
	Name      string
	Host      string
	Prefix    string // Begins and ends with a slash.
	Kind      Kind
	Timeout   time.Duration // Maximum time from the arrival of a request to the end of its response; 0 for none.
	Objective time.Duration // Target time to the response, or to the first event of a stream; 0 for the request's time limit.
	Gap       time.Duration // Target maximum pause between events; 0 for none.
	Tier      int           // Priority tier; 0 is served first.
	Targets   []Target
	Attempts  int  // Maximum number of backend servers that may run one request, at least 1.
	Public    bool // Requests need no key.
	Resumable bool // Streams may be resumed at another backend server.
}

// Target is a service that receives a share of a route's requests in proportion to its weight.
type Target struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request of the route may be resent when it may already have run.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Pick returns the service for a point in [0, 1), with the targets weighted, or "" when no target has a positive weight.
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
