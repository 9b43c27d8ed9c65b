package rollout

import "math"

// aspect is a property for which responses are tested: failure, or one of two latencies. A latency is tested in two ways:
// against the slowest of the control's, and for a shift against the control's median. A control of which a part is slow, such
// as on some of its servers, hides a slow candidate from the first test but not from the second one.
type aspect int

const (
	failure aspect = iota
	firstToken
	interToken
	firstTokenShift
	interTokenShift
	aspectCount
)

// scopeCount is the number of sets of responses that are tested separately: all of them, and each load bucket.
const scopeCount = 1 + LoadBuckets

// Weights of the tests in the mixture; the weights of all aspects sum to 1, and so do those of all scopes.
const (
	failureWeight = 0.5
	latencyWeight = 0.125 // Weight of each of the two tests of each of the two latencies.
	allWeight     = 0.5
	bucketWeight  = 0.5 / LoadBuckets
)

// alternativeEffects are the alternative hypotheses: the fraction of otherwise good responses that are bad with the
// candidate.
var alternativeEffects = [...]float64{0.1, 0.3, 0.8}

// evidence accumulates the evidence against the candidate.
//
// Each cell tests one aspect in one scope against each alternative effect. For each effect, a sequential probability ratio
// test starts before every response, with weights that sum to 1, so that a version that turns bad later is tested without
// dilution by its earlier good responses. The weighted sum of the likelihood ratios of all tests is a non-negative
// supermartingale with mean at most 1 as long as the version is good, so the probability that it ever reaches 1/alpha is at
// most alpha (Ville's inequality; Shin, Ramdas and Rinaldo, E-detectors, 2022; for the single test Wald, 1945). The bound
// holds over the whole rollout, for all aspects, loads and steps together. It takes the null rates as given; the margins on
// the control's rates cover the error of their estimates.
type evidence struct {
	cells [aspectCount][scopeCount]cellTest
}

// cellTest holds the tests of one aspect in one scope, for all effects.
type cellTest struct {
	ratios   [len(alternativeEffects)]float64 // Weighted sum of the likelihood ratios of the started tests, by effect.
	value    float64                          // Mean of the ratios over the effects, including the unstarted tests with the ratio 1.
	samples  int                              // Number of responses.
	bad      int                              // Number of responses that were bad in the aspect.
	nullRate float64                          // Null rate of the latest response.
}

// add updates the tests with a response; nullRate is the probability of a bad one for a good version.
func (e *evidence) add(a aspect, bucket int, bad bool, nullRate float64) {
	e.cells[a][0].add(bad, nullRate)
	e.cells[a][1+bucket].add(bad, nullRate)
}

func (c *cellTest) add(bad bool, nullRate float64) {
	unstarted := unstartedWeight(c.samples + 1)
	started := unstartedWeight(c.samples) - unstarted
	c.samples++
	c.nullRate = nullRate
	if bad {
		c.bad++
	}
	c.value = 0
	for i, effect := range alternativeEffects {
		c.ratios[i] = (c.ratios[i] + started) * likelihood(bad, nullRate, effect)
		c.value += (c.ratios[i] + unstarted) / float64(len(alternativeEffects))
	}
}

// unstartedWeight returns the weight of the tests that start after n responses. It falls so slowly that a fault after 1,000
// responses needs only about 10 nats more evidence than one at the start, most of it the logarithm of 1,000.
func unstartedWeight(n int) float64 { return 1 / (1 + math.Log(1+float64(n))) }

// total returns the weighted sum over the tests of all cells.
func (e *evidence) total() float64 {
	sum := 0.0
	for a := range aspectCount {
		for scope := range scopeCount {
			sum += e.value(a, scope)
		}
	}
	return sum
}

// value returns the weighted contribution of a cell to the total; scope 0 is all responses, scope n load bucket n-1.
func (e *evidence) value(a aspect, scope int) float64 {
	value := 1.0
	if c := &e.cells[a][scope]; c.samples > 0 {
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

// strongest returns the cell with the largest contribution to the total.
func (e *evidence) strongest() (a aspect, scope int) {
	for i := range aspectCount {
		for j := range scopeCount {
			if e.value(i, j) > e.value(a, scope) {
				a, scope = i, j
			}
		}
	}
	return a, scope
}

// likelihood returns the likelihood ratio of a response: its probability under the alternative rate
// nullRate+effect*(1-nullRate), divided by that under nullRate.
func likelihood(bad bool, nullRate, effect float64) float64 {
	if bad {
		return 1 + effect*(1-nullRate)/nullRate
	}
	return 1 - effect
}
