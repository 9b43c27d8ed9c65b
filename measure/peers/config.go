package peers

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/engine"
)

// Times of the network and of the instances, from the deployments of the platform.
const (
	toEngine = 500 * time.Microsecond
	// pump is how often an instance looks at what waits when nothing else happens.
	pump = 25 * time.Millisecond
	// comeBack is how long a caller stays away after its connection broke.
	comeBack = 100 * time.Millisecond
)

// Config describes a deployment, its load and what happens to it.
type Config struct {
	Instances int
	Word      time.Duration // Between two words that an instance hears of the others.
	Engines   []engine.Config
	First     time.Duration // Between the reading of a prompt and its first event.
	Stride    int           // Tokens in an event.
	Kinds     []Kind
	Loads     []Load
	Faults    []Fault
	Lost      time.Duration // When the first instance is lost; 0 for never.
	End       time.Duration // Of the run; arrivals end before.
	Seed      uint64
}

// Load is a phase of the load.
type Load struct {
	From, To time.Duration
	Factor   float64 // Of the usual rates.
}

// Fault is what happens to an engine.
type Fault struct {
	Engine   int
	From, To time.Duration
	Slow     float64 // Times as long for each step; 0 when it is down.
}
