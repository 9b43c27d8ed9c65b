package peers

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/engine"
)

// Delays and intervals of the network and the instances, as in the deployments of the platform.
const (
	engineDelay = 500 * time.Microsecond
	// queueInterval is how often an instance tries to place waiting requests when no other event triggers it.
	queueInterval = 25 * time.Millisecond
	// reconnectDelay is how long a caller waits before it repeats a request after its connection broke.
	reconnectDelay = 100 * time.Millisecond
)

// Config describes a deployment, its load and its faults.
type Config struct {
	Instances int
	Word      time.Duration // Interval between two load reports from the other instances.
	Engines   []engine.Config
	First     time.Duration // Delay between the end of prefill and the first event.
	Stride    int           // Number of tokens in an event.
	Kinds     []Kind
	Loads     []Load
	Faults    []Fault
	Lost      time.Duration // Time at which the first instance fails; 0 means never.
	End       time.Duration // End of the run; arrivals end earlier.
	Seed      uint64
}

// Load is a phase of the load with a constant arrival rate.
type Load struct {
	From, To time.Duration
	Factor   float64 // Multiple of the usual arrival rates.
}

// Fault is an outage or slowdown of an engine.
type Fault struct {
	Engine   int
	From, To time.Duration
	Slow     float64 // Factor by which each step takes longer; 0 means that the engine is down.
}
