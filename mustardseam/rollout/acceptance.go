package rollout

import "math"

// Smallest effect that a step must rule out, by step; the last entry holds for later steps. The canary step rules out
// only large effects, because its share of requests yields few responses: 13 consecutive good ones suffice. The following
// steps need 21 and 44.
var (
	minFailureEffects = [...]float64{0.3, 0.2, 0.1}
	minLatencyEffects = [...]float64{0.45, 0.35, 0.3}
)

// busyBucketRatio is the fraction of the control's responses from which a load bucket is busy, so that the step needs
// responses of the candidate in it.
const busyBucketRatio = 0.2

const (
	// minBucketSamples is the number of the candidate's responses that a busy bucket needs.
	minBucketSamples = 3
	// coverageWaiver is the number of the candidate's responses from which a step no longer needs responses in busy buckets,
	// because servers with the canary's share may never reach such a load. It is twice what the canary step needs.
	coverageWaiver = 26
)

// minLogRatio is the lower bound of the log-likelihood ratios, so that a version that turns bad after it was accepted
// loses the acceptance within two or three bad responses. It is 1.5 times the logarithm of the default beta.
var minLogRatio = 1.5 * math.Log(defaultBeta)

// acceptance is the evidence of one step in favour of the candidate: one sequential probability ratio test for each
// aspect. A version with at least the step's effect passes with a probability of at most beta (Wald, 1945).
type acceptance struct {
	step            int
	samples         int                  // Number of the candidate's responses.
	logRatios       [aspectCount]float64 // Log-likelihood ratio of the test of each aspect.
	usualLogRatio   float64              // The same for failures, with the usual rate of failures throughout.
	tested          aspectSet            // Aspects with at least one observation.
	candidateCounts [LoadBuckets]int     // Number of the candidate's responses by load bucket.
	controlCounts   [LoadBuckets]int     // Number of the control's responses by load bucket.
}

// add updates the test of an aspect with a response; nullRate is the probability of a bad one for a good version.
func (c *acceptance) add(a aspect, bad bool, nullRate float64) {
	effects := minLatencyEffects[:]
	if a == failure {
		effects = minFailureEffects[:]
	}
	effect := effects[min(c.step, len(effects)-1)]
	c.logRatios[a] = max(c.logRatios[a]+math.Log(likelihood(bad, nullRate, effect)), minLogRatio)
	c.tested[a] = true
}

// addUsual updates the test of failures against the usual rate, also while the control fails more often.
func (c *acceptance) addUsual(bad bool, usual float64) {
	effect := minFailureEffects[min(c.step, len(minFailureEffects)-1)]
	c.usualLogRatio = max(c.usualLogRatio+math.Log(likelihood(bad, usual, effect)), minLogRatio)
}

// withhold takes back the evidence in an aspect.
func (c *acceptance) withhold(a aspect) { c.logRatios[a] = max(c.logRatios[a], 0) }

// withholdFailures takes back all evidence on failures.
func (c *acceptance) withholdFailures() {
	c.withhold(failure)
	c.usualLogRatio = max(c.usualLogRatio, 0)
}

// withholdAll takes back the evidence in all aspects.
func (c *acceptance) withholdAll() {
	for a := range aspectCount {
		c.withhold(a)
	}
	c.withholdFailures()
}

// accepted reports whether the evidence in an aspect suffices.
func (c *acceptance) accepted(a aspect, beta float64) bool {
	if a == failure && c.usualLogRatio <= math.Log(beta) {
		return true
	}
	return c.tested[a] && c.logRatios[a] <= math.Log(beta)
}

// passed reports whether every required aspect is accepted and the busy load buckets are covered or no longer needed.
func (c *acceptance) passed(beta float64, required aspectSet) bool {
	for a := range aspectCount {
		if required[a] && !c.accepted(a, beta) {
			return false
		}
	}
	return c.samples >= coverageWaiver || c.coversBusyBuckets()
}

// coversBusyBuckets reports whether each busy load bucket has enough of the candidate's responses.
func (c *acceptance) coversBusyBuckets() bool {
	total := 0
	for _, n := range c.controlCounts {
		total += n
	}
	for bucket, n := range c.controlCounts {
		if float64(n) >= busyBucketRatio*float64(total) && n > 0 && c.candidateCounts[bucket] < minBucketSamples {
			return false
		}
	}
	return true
}
