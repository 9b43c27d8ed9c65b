package rollout

import "math"

// Smallest effect that a step must rule out, by step; the last entry holds for later steps. The canary rules out gross
// faults only, because its share gives few answers: 13 good ones in a row suffice. The following steps need 21 and 44.
var (
	failureEffects = [...]float64{0.3, 0.2, 0.1}
	latencyEffects = [...]float64{0.45, 0.35, 0.3}
)

// busyShare is the part of the control's answers that makes a load bucket one in which the new version must be seen.
const busyShare = 0.2

const (
	// covered is the number of the new version's answers that a busy bucket needs.
	covered = 3
	// waived is the number of its answers after which a step no longer waits for busy buckets, because servers with the
	// canary's share may never get that busy. It is twice what the canary's test needs.
	waived = 26
)

// floor bounds the sums from below, so that a version that turns bad after it was accepted loses the acceptance within
// two or three bad answers. It is one and a half times the logarithm of the default miss bound.
var floor = 1.5 * math.Log(defaultBeta)

// acceptance is the evidence of one step in favour of the new version: one sequential probability ratio test for each
// aspect. A version with at least the step's effect passes with a probability of at most beta (Wald, 1945).
type acceptance struct {
	step   int
	seen   int
	sums   [aspects]float64 // Logarithms of the likelihood ratios.
	tested flags
	loads  [Loads]int
	base   [Loads]int // Answers of the control.
}

// add takes in an answer and whether it was bad in the aspect.
func (c *acceptance) add(a aspect, hit bool, null float64) {
	effects := latencyEffects[:]
	if a == failure {
		effects = failureEffects[:]
	}
	effect := effects[min(c.step, len(effects)-1)]
	c.sums[a] = max(c.sums[a]+math.Log(likelihood(hit, null, effect)), floor)
	c.tested[a] = true
}

// passed reports whether every aspect in need is accepted and the busy load buckets were seen.
func (c *acceptance) passed(beta float64, need flags) bool {
	for a := range aspects {
		if need[a] && (!c.tested[a] || c.sums[a] > math.Log(beta)) {
			return false
		}
	}
	return c.seen >= waived || c.covers()
}

func (c *acceptance) covers() bool {
	total := 0
	for _, n := range c.base {
		total += n
	}
	for load, n := range c.base {
		if float64(n) >= busyShare*float64(total) && n > 0 && c.loads[load] < covered {
			return false
		}
	}
	return true
}
