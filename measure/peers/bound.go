package peers

import (
	"math"
	"time"
)

const (
	// bucket is the length of the intervals in which the bound counts the engines' time.
	bucket = 100 * time.Millisecond
	// rounds is the number of steps towards the prices with the least bound; any prices give a bound.
	rounds = 400
	// firstStep is the size of the first of these steps as a part of the mean worth of time; they fall with the square root.
	firstStep = 0.05
	// levels is the number of equal prices, up to twice the mean worth of time, of which the best is the start.
	levels = 20
)

// Bound returns the worth that no scheduler can exceed on a deployment, even one that knows all arrivals and faults
// beforehand.
//
// It relaxes the problem: the engines of an interval are one machine whose time can be divided at will, a prompt may be read
// and tokens be written at any time between the arrival and the objective or deadline, and a step costs each stream only
// its part of a full batch. For any prices of the time in each interval, the worth is at most the value of all the time at
// these prices and, for each request, what its worth exceeds the price of its cheapest service by (Lagrange duality). The
// prices are improved by steps along the subgradient.
func Bound(cfg Config) float64 {
	b := newBound(cfg)
	best, level := math.Inf(1), 0.0
	for l := range levels {
		price := 2 * b.scale * float64(l) / levels
		b.level(price)
		if sum, _ := b.value(); sum < best {
			best, level = sum, price
		}
	}
	b.level(level)
	for round := range rounds {
		sum, slack := b.value()
		best = min(best, sum)
		b.step(round, slack)
	}
	return best
}

// bound holds the prices and what they are for.
type bound struct {
	capacity []float64 // Seconds of an engine of speed 1, by interval.
	prices   []float64 // Worth of such a second.
	jobs     []demand
	scale    float64 // Mean worth of a second.
}

// demand is what a request needs.
type demand struct {
	read, write         float64 // Seconds of an engine of speed 1.
	worth, late         float64
	from, first, target int // Intervals: of the arrival, of the objective and of the deadline.
}

func newBound(cfg Config) *bound {
	n := int(cfg.End/bucket) + 1
	b := &bound{capacity: make([]float64, n), prices: make([]float64, n)}
	for i := range b.capacity {
		b.capacity[i] = cfg.speed(time.Duration(i)*bucket) * bucket.Seconds()
	}
	e := cfg.Engines[0]
	token := (e.PerStream + e.Base/time.Duration(e.MaxBatch)).Seconds()
	work, worth := 0.0, 0.0
	for _, r := range Arrivals(cfg) {
		at := func(d time.Duration) int { return min(n-1, int((r.At+d)/bucket)) }
		d := demand{
			read: float64(r.Prompt) * e.PerPrefill.Seconds(), write: float64(r.Output) * token, worth: r.Kind.Worth, late: r.Kind.Late,
			from: at(0), first: at(max(0, r.Kind.Objective-cfg.First)), target: at(r.Kind.Deadline),
		}
		work += d.read + d.write
		worth += d.worth
		b.jobs = append(b.jobs, d)
	}
	b.scale = worth / work
	return b
}

// speed returns the sum of the speeds of the engines at a time of the run.
func (cfg Config) speed(at time.Duration) float64 {
	sum := 0.0
	for i, e := range cfg.Engines {
		speed := e.Speed
		for _, f := range cfg.Faults {
			if f.Engine == i && at >= f.From && at < f.To {
				speed = 0
				if f.Slow > 0 {
					speed = e.Speed / f.Slow
				}
			}
		}
		sum += speed
	}
	return sum
}

// level sets all prices alike.
func (b *bound) level(price float64) {
	for i := range b.prices {
		b.prices[i] = price
	}
}

// value returns the bound at the present prices and the time that is left over in each interval.
func (b *bound) value() (sum float64, slack []float64) {
	slack = make([]float64, len(b.prices))
	for i, p := range b.prices {
		sum += p * b.capacity[i]
		slack[i] = b.capacity[i]
	}
	for _, d := range b.jobs {
		read, write := b.cheapest(d.from, d.first), b.cheapest(d.from, d.target)
		inTime := d.worth - d.read*b.prices[read] - d.write*b.prices[write]
		late := d.late - (d.read+d.write)*b.prices[write]
		switch {
		case inTime >= late && inTime > 0:
			sum += inTime
			slack[read] -= d.read
			slack[write] -= d.write
		case late > 0:
			sum += late
			slack[write] -= d.read + d.write
		}
	}
	return sum, slack
}

// step raises the prices of intervals with too little time and lowers the others.
func (b *bound) step(round int, slack []float64) {
	size := firstStep * b.scale / math.Sqrt(float64(round+1))
	for i := range b.prices {
		b.prices[i] = max(0, b.prices[i]-size*slack[i]/max(b.capacity[i], bucket.Seconds()))
	}
}

// cheapest returns the interval of the lowest price from one to another, the first of several.
func (b *bound) cheapest(from, to int) int {
	best := from
	for i := from; i <= to; i++ {
		if b.prices[i] < b.prices[best] {
			best = i
		}
	}
	return best
}
