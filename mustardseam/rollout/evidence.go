package rollout

import "math"

// aspect is what an answer is tested for.
type aspect int

const (
	failure aspect = iota
	first
	between
	aspects
)

// scopes are the sets of answers that are tested on their own: all, and each load bucket.
const scopes = 1 + Loads

// Weights of the tests in the mixture; each list sums to 1 over what it ranges over.
const (
	failureWeight = 0.5
	latencyWeight = 0.25 // Of each of the two latencies.
	allWeight     = 0.5
	bucketWeight  = 0.5 / Loads
)

// effects are the alternatives: the part of the answers that were good and are bad with the new version.
var effects = [...]float64{0.1, 0.3, 0.8}

// evidence measures how much the answers speak against the new version.
//
// Each cell is a test of one aspect in one scope against one effect. Within a cell a sequential probability ratio test
// starts before each answer, with weights that sum to 1, so that a version that turns bad later meets a test that its
// good answers have not diluted. The weighted sum of the likelihood ratios of all tests is a non-negative supermartingale
// with mean at most 1 as long as the version is good, so the probability that it ever reaches 1/alpha is at most alpha
// (Ville's inequality; Shin, Ramdas and Rinaldo, E-detectors, 2022; for the single test Wald, 1945). The bound holds over
// the whole rollout, all aspects, loads and steps together. It takes the null rates as given; the margins of the control
// cover the error of their estimates.
type evidence struct {
	cells [aspects][scopes]cell
}

// cell holds the tests of one aspect in one scope.
type cell struct {
	ratio [len(effects)]float64 // Weighted sum of the likelihood ratios of the tests that have started.
	value float64               // Mean over the effects, with the tests that have not started at the ratio 1.
	seen  int
	hits  int
	null  float64 // Of the latest answer.
}

// add takes in an answer and whether it was bad in the aspect; null is the probability of that for a good version.
func (e *evidence) add(a aspect, load int, hit bool, null float64) {
	e.cells[a][0].add(hit, null)
	e.cells[a][1+load].add(hit, null)
}

func (c *cell) add(hit bool, null float64) {
	rest := unstarted(c.seen + 1)
	started := unstarted(c.seen) - rest
	c.seen++
	c.null = null
	if hit {
		c.hits++
	}
	c.value = 0
	for i, effect := range effects {
		c.ratio[i] = (c.ratio[i] + started) * likelihood(hit, null, effect)
		c.value += (c.ratio[i] + rest) / float64(len(effects))
	}
}

// unstarted returns the weight of the tests that start after n answers. It falls so slowly that a fault after 1,000
// answers needs about 10 nats more evidence than one at the start, mostly the logarithm of that number.
func unstarted(n int) float64 { return 1 / (1 + math.Log(1+float64(n))) }

// total returns the weighted sum over all tests.
func (e *evidence) total() float64 {
	sum := 0.0
	for a := range aspects {
		for scope := range scopes {
			sum += e.value(a, scope)
		}
	}
	return sum
}

// value returns the weighted contribution of a cell to the total.
func (e *evidence) value(a aspect, scope int) float64 {
	value := 1.0
	if c := &e.cells[a][scope]; c.seen > 0 {
		value = c.value
	}
	if a == failure {
		value *= failureWeight
	} else {
		value *= latencyWeight
	}
	if scope == 0 {
		return value * allWeight
	}
	return value * bucketWeight
}

// strongest returns the cell that contributes most.
func (e *evidence) strongest() (a aspect, scope int) {
	for i := range aspects {
		for j := range scopes {
			if e.value(i, j) > e.value(a, scope) {
				a, scope = i, j
			}
		}
	}
	return a, scope
}

// likelihood returns the ratio of the probabilities of an answer under the alternative null+effect*(1-null) and under
// the null hypothesis.
func likelihood(hit bool, null, effect float64) float64 {
	if hit {
		return 1 + effect*(1-null)/null
	}
	return 1 - effect
}
