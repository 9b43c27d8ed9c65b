package capacity

import "time"

// Reading is a load report of a backend server.
type Reading struct {
	Taken    time.Time // When the backend server counted.
	Sequence uint64
	Running  int
	Waiting  int
	Cold     bool
}

// total returns the requests that run or wait inside the server.
func (r Reading) total() int { return r.Running + r.Waiting }
