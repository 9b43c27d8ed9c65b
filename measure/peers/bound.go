package peers

import (
	"math"
	"time"
)

const (
	// interval is the length of the intervals for which the bound sums the engine time.
	interval = 100 * time.Millisecond
	// subgradientSteps is the number of steps that improve the prices; any prices give a valid bound.
	subgradientSteps = 400
	// initialStepSize is the size of the first step as a fraction of the mean worth of a second of engine time. The size
	// decreases with the square root of the step number.
	initialStepSize = 0.05
	// initialPriceLevels is the number of uniform prices, up to twice the mean worth of time, of which the best is the
	// starting point.
	initialPriceLevels = 20
)

// Bound returns an upper bound on the worth that any scheduler can achieve on a deployment, even one that knows all arrivals
// and faults in advance.
//
// It solves a relaxation: the engines of an interval are one machine whose time is divisible, prefill may run at any time
// between the arrival and the objective and decoding at any time between the arrival and the deadline, and a step costs
// each stream only its share of a full batch. For any prices of the time in each interval, the worth is at most the value
// of all the time at these prices plus, for each request, the amount by which its worth exceeds the price of its cheapest
// service (Lagrangian duality). The prices are improved by the subgradient method.
func Bound(cfg Config) float64 {
	b := newDualProblem(cfg)
	best, bestPrice := math.Inf(1), 0.0
	for level := range initialPriceLevels {
		price := 2 * b.meanWorth * float64(level) / initialPriceLevels
		b.setPrices(price)
		if sum, _ := b.value(); sum < best {
			best, bestPrice = sum, price
		}
	}
	b.setPrices(bestPrice)
	for round := range subgradientSteps {
		sum, slack := b.value()
		best = min(best, sum)
		b.adjustPrices(round, slack)
	}
	return best
}

// dualProblem is the Lagrangian dual of the relaxed scheduling problem.
type dualProblem struct {
	capacity  []float64 // Capacity of each interval, in seconds of an engine of speed 1.
	prices    []float64 // Price of such a second in each interval.
	demands   []demand
	meanWorth float64 // Mean worth of such a second over all requests.
}

// demand is the engine time that a request needs, its worth and its time limits.
type demand struct {
	prefillTime, decodeTime      float64 // Engine time in seconds at speed 1.
	worth, lateWorth             float64
	arrival, objective, deadline int // Indexes of the intervals of the arrival, the objective and the deadline.
}

func newDualProblem(cfg Config) *dualProblem {
	n := int(cfg.End/interval) + 1
	b := &dualProblem{capacity: make([]float64, n), prices: make([]float64, n)}
	for i := range b.capacity {
		b.capacity[i] = cfg.totalSpeed(time.Duration(i)*interval) * interval.Seconds()
	}
	e := cfg.Engines[0]
	tokenTime := (e.PerStream + e.Base/time.Duration(e.MaxBatch)).Seconds()
	totalTime, totalWorth := 0.0, 0.0
	for _, r := range Arrivals(cfg) {
		intervalAt := func(d time.Duration) int { return min(n-1, int((r.At+d)/interval)) }
		d := demand{
			prefillTime: float64(r.Prompt) * e.PerPrefill.Seconds(), decodeTime: float64(r.Output) * tokenTime, worth: r.Kind.Worth, lateWorth: r.Kind.Late,
			arrival: intervalAt(0), objective: intervalAt(max(0, r.Kind.Objective-cfg.First)), deadline: intervalAt(r.Kind.Deadline),
		}
		totalTime += d.prefillTime + d.decodeTime
		totalWorth += d.worth
		b.demands = append(b.demands, d)
	}
	b.meanWorth = totalWorth / totalTime
	return b
}

// totalSpeed returns the sum of the speeds of the engines at a time of the run, taking faults into account.
func (cfg Config) totalSpeed(at time.Duration) float64 {
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

// setPrices sets all prices to the same value.
func (b *dualProblem) setPrices(price float64) {
	for i := range b.prices {
		b.prices[i] = price
	}
}

// value returns the bound at the current prices and the unused time of each interval, which is negative if the interval is
// overcommitted.
func (b *dualProblem) value() (sum float64, slack []float64) {
	slack = make([]float64, len(b.prices))
	for i, p := range b.prices {
		sum += p * b.capacity[i]
		slack[i] = b.capacity[i]
	}
	for _, d := range b.demands {
		prefillInterval, decodeInterval := b.cheapestInterval(d.arrival, d.objective), b.cheapestInterval(d.arrival, d.deadline)
		inTimeSurplus := d.worth - d.prefillTime*b.prices[prefillInterval] - d.decodeTime*b.prices[decodeInterval]
		lateSurplus := d.lateWorth - (d.prefillTime+d.decodeTime)*b.prices[decodeInterval]
		switch {
		case inTimeSurplus >= lateSurplus && inTimeSurplus > 0:
			sum += inTimeSurplus
			slack[prefillInterval] -= d.prefillTime
			slack[decodeInterval] -= d.decodeTime
		case lateSurplus > 0:
			sum += lateSurplus
			slack[decodeInterval] -= d.prefillTime + d.decodeTime
		}
	}
	return sum, slack
}

// adjustPrices raises the prices of overcommitted intervals and lowers the others.
func (b *dualProblem) adjustPrices(round int, slack []float64) {
	size := initialStepSize * b.meanWorth / math.Sqrt(float64(round+1))
	for i := range b.prices {
		b.prices[i] = max(0, b.prices[i]-size*slack[i]/max(b.capacity[i], interval.Seconds()))
	}
}

// cheapestInterval returns the first interval with the lowest price between from and to, inclusive.
func (b *dualProblem) cheapestInterval(from, to int) int {
	best := from
	for i := from; i <= to; i++ {
		if b.prices[i] < b.prices[best] {
			best = i
		}
	}
	return best
}
