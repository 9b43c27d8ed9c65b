package place

import "time"

// Refusal says why a request that was not run is refused and when there may be room.
type Refusal struct {
	Reason string
	After  time.Duration // When to come back.
}

// Error returns the reason.
func (r *Refusal) Error() string { return r.Reason }
