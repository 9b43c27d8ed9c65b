package placement

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the exponential decay of a rate.
const rateTimeConstant = 2 * time.Second

// Rate counts events per second with exponential decay; its zero value has counted none.
type Rate struct {
	count     float64 // Decayed number of events at updatedAt.
	updatedAt time.Time
}

// Add counts an event.
func (r *Rate) Add(now time.Time) {
	r.count = r.decayedCount(now) + 1
	r.updatedAt = now
}

// PerSecond returns the rate at the given time.
func (r *Rate) PerSecond(now time.Time) float64 {
	return r.decayedCount(now) / rateTimeConstant.Seconds()
}

// decayedCount returns the decayed number of events at the given time.
func (r *Rate) decayedCount(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.count * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateTimeConstant.Seconds())
}
