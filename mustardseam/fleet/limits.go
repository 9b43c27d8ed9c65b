package fleet

import "time"

// Limits bound what a caller may send and how long it may take; zero fields mean no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
