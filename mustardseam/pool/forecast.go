package pool

import (
	"math"
	"slices"
	"time"
)

const (
	// rateMemory is long enough to average requests whose lengths differ a hundredfold, and short enough to see a burst
	// end.
	rateMemory = 10 * time.Second
	// warmShare is the part of the limits in force from which the measured rate is that of a warm pool.
	warmShare = 0.8
	// minCapacity bounds the measured rate from below, as a share of what the limits allow: while a few long requests
	// hold all servers nothing is granted, and that must not refuse the whole queue.
	minCapacity = 0.2
	// minMeasured is the time for which a rate must have been measured before requests are refused by it.
	minMeasured = 2 * time.Second
	// minShare of the capacity is taken to be left for a tier whose higher tiers use everything.
	minShare = 0.02
)

// forecast estimates waits from the tokens granted and asked for.
type forecast struct {
	served rate
	asked  []tierRate // By rank, ascending.
	mean   float64    // Mean tokens of a request.
}

// tierRate is the rate at which a tier asks for tokens.
type tierRate struct {
	rank int
	rate
}

// rate is an exponentially decaying average of events per second.
type rate struct {
	since time.Time
	at    time.Time
	sum   float64
}

// add takes in an event of the given size.
func (r *rate) add(now time.Time, v float64) {
	if r.since.IsZero() {
		r.since, r.at = now, now
	}
	r.sum = r.sum*decay(now.Sub(r.at)) + v
	r.at = now
}

// per returns the average per second, corrected for the time before the first event.
func (r *rate) per(now time.Time) float64 {
	if r.since.IsZero() {
		return 0
	}
	weight := 1 - decay(now.Sub(r.since)+100*time.Millisecond)
	return r.sum * decay(now.Sub(r.at)) / (weight * rateMemory.Seconds())
}

func decay(d time.Duration) float64 {
	return math.Exp(-max(0, d.Seconds()) / rateMemory.Seconds())
}

// ask takes in the tokens of a request that was admitted to the queue.
func (f *forecast) ask(now time.Time, rank int, tokens float64) {
	i, ok := slices.BinarySearchFunc(f.asked, rank, func(t tierRate, rank int) int { return t.rank - rank })
	if !ok {
		f.asked = slices.Insert(f.asked, i, tierRate{rank: rank})
	}
	f.asked[i].add(now, tokens)
	if f.mean == 0 {
		f.mean = tokens
	}
	f.mean += 0.02 * (tokens - f.mean)
}

// left returns the part of the capacity, in tokens per second, that higher tiers leave to the rank.
func (f *forecast) left(now time.Time, rank int, capacity float64) float64 {
	left := capacity
	for i := range f.asked {
		if f.asked[i].rank >= rank {
			break
		}
		left -= f.asked[i].per(now)
	}
	return max(left, minShare*capacity)
}

// capacity returns the tokens per second that the pool serves when it is full. It is what it granted lately if it has
// been full for long enough and warm, and otherwise at least what the limits of warm servers allow at the present
// duration of requests, so that nothing is refused for a cold start that soon ends.
func (p *Pool) capacity(now time.Time) float64 {
	served := p.forecast.served.per(now)
	warm := float64(p.limit) >= warmShare*float64(p.full)
	bound := float64(p.full) / float64(p.share) * p.forecast.mean / max(1e-3, p.duration.Seconds())
	if warm && !p.busy.IsZero() && now.Sub(p.busy) >= rateMemory {
		return max(served, minCapacity*bound)
	}
	return max(served, bound)
}

// speed returns the tokens per second that a tier gets; it is false when too little is known.
func (p *Pool) speed(now time.Time, rank int) (float64, bool) {
	since := p.forecast.served.since
	if since.IsZero() || now.Sub(since) < minMeasured {
		return 0, false
	}
	v := p.forecast.left(now, rank, p.capacity(now))
	return v, v > 0
}

// wait estimates how long a new request of the team would wait; it is false when too little is known.
func (p *Pool) wait(now time.Time, rank int, team string) (time.Duration, bool) {
	speed, known := p.speed(now, rank)
	if !known {
		return 0, false
	}
	return span(p.queue.Ahead(rank, team) / speed), true
}

// span converts seconds within bounds.
func span(s float64) time.Duration {
	return time.Duration(min(max(0, s), 1e6) * float64(time.Second))
}

// retryAfter rounds a wait up to whole seconds within bounds that a caller can use.
func retryAfter(d time.Duration) time.Duration {
	d = min(max(d, time.Second), time.Minute)
	return (d + time.Second - 1).Truncate(time.Second)
}
