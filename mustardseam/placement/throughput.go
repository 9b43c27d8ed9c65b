package placement

import (
	"math"
	"time"
)

const (
	// throughputTimeConstant is the time constant of the exponential decay of a throughput.
	throughputTimeConstant = 2 * time.Second
	// minThroughputTime is the time for which jobs must have waited before the throughput of their queue is known.
	minThroughputTime = 500 * time.Millisecond
)

// throughput is the rate at which work leaves a queue while jobs wait in it. The time in which none wait does not count, so
// that a queue that is seldom in use does not look slow. Its zero value has observed nothing.
type throughput struct {
	placed  float64   // Decayed work of the jobs that were placed.
	waited  float64   // Decayed seconds in which jobs waited.
	updated time.Time // Time to which the two are decayed.
}

// observe counts the work of jobs that were placed by a time. waiting reports whether jobs have waited since the latest call.
func (t *throughput) observe(now time.Time, placed float64, waiting bool) {
	span := max(0, now.Sub(t.updated))
	decay := 0.0
	if !t.updated.IsZero() {
		decay = math.Exp(-span.Seconds() / throughputTimeConstant.Seconds())
	}
	t.placed, t.waited, t.updated = t.placed*decay+placed, t.waited*decay, now
	if waiting && decay > 0 {
		t.waited += throughputTimeConstant.Seconds() * (1 - decay)
	}
}

// perSecond returns the throughput; ok is false if too little was observed or nothing was placed.
func (t throughput) perSecond(now time.Time, waiting bool) (rate float64, ok bool) {
	t.observe(now, 0, waiting)
	if t.waited < minThroughputTime.Seconds() || t.placed <= 0 {
		return 0, false
	}
	return t.placed / t.waited, true
}
