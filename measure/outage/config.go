package outage

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/site"
)

// Config describes a simulation run.
type Config struct {
	Site     site.Site
	Seed     uint64
	From, To time.Duration // Start and end of the store outage.
	HomeDies time.Duration // Time at which the home instance fails; 0 means never.
	End      time.Duration // Time after which callers begin no new request.
	Rate     float64       // Mean arrival rate, in requests per second.
	LostAt   float64       // Fraction of store writes whose response is lost after they took effect.
	LostOn   float64       // Fraction of answers that are lost on the way to the caller.
}

// Latencies, timeouts and intervals of the network, the store, the instances and the callers.
const (
	storeDelay        = 2 * time.Millisecond
	instanceDelay     = 500 * time.Microsecond
	clientDelay       = time.Millisecond
	storeTimeout      = time.Second // Time after which a store call without a response fails.
	serviceTime       = 40 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	suspicionTimeout  = 1500 * time.Millisecond
	platformListDelay = 2 * time.Second // Time until the platform's list drops a failed instance.
	pollInterval      = 200 * time.Millisecond
	permitTimeout     = 1500 * time.Millisecond // Time after which a permit that was not fetched is void.
	callTimeout       = 10 * time.Second
	callerTimeout     = 12 * time.Second // Time after which a caller without an answer repeats the call.
	retryDelay        = time.Second      // Delay before a caller repeats a refused call.
	maxCalls          = 8
	drainTime         = 2 * time.Minute
)
