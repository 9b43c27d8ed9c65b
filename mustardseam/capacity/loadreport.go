package capacity

import "time"

// LoadReport holds the counts in a load report of a backend server.
type LoadReport struct {
	Taken    time.Time // Time at which the backend server took the counts.
	Sequence uint64    // Increases with each report and restarts when the backend server does.
	Running  int       // Requests being executed.
	Waiting  int       // Requests queued inside the server.
	Cold     bool      // Whether the server is in cold start.
}

// total returns the requests being executed or queued inside the server.
func (r LoadReport) total() int { return r.Running + r.Waiting }
