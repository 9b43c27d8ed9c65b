package place

import (
	"math"
	"time"
)

// rateHorizon is the time over which a rate forgets.
const rateHorizon = 2 * time.Second

// rate counts events per second with exponential forgetting; its zero value has seen none.
type rate struct {
	count float64
	at    time.Time
}

func (r *rate) add(now time.Time) {
	r.count = r.decayed(now) + 1
	r.at = now
}

func (r *rate) perSecond(now time.Time) float64 { return r.decayed(now) / rateHorizon.Seconds() }

func (r *rate) decayed(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.count * math.Exp(-now.Sub(r.at).Seconds()/rateHorizon.Seconds())
}
