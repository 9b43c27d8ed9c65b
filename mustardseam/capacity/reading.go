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
