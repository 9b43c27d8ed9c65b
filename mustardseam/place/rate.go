package place

import (
	"math"
	"time"
)

// rateHorizon is the time over which a rate forgets.
const rateHorizon = 2 * time.Second

// Rate counts events per second with exponential forgetting; its zero value has seen none.
type Rate struct {
	count float64
	at    time.Time
}

// Add counts an event.
func (r *Rate) Add(now time.Time) {
	r.count = r.decayed(now) + 1
	r.at = now
}

// PerSecond returns the rate at a moment.
func (r *Rate) PerSecond(now time.Time) float64 { return r.decayed(now) / rateHorizon.Seconds() }

func (r *Rate) decayed(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.count * math.Exp(-now.Sub(r.at).Seconds()/rateHorizon.Seconds())
}
