package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// shiftFactor is the factor on the control's median from which a latency is shifted. A version with a fault is several times
	// slower; a good one on servers without a warm cache or under another load stays below.
	shiftFactor = 1.8
	// shiftNeighbours is the number of the control's responses around that of the candidate that show a disturbance that is too
	// recent for the whole window.
	shiftNeighbours = 2 * neighbourCount
)

// shiftTest compares latencies with the median of a window.
type shiftTest struct {
	threshold time.Duration // Latency from which a response is shifted.
	rate      float64       // Fraction of the window's responses that are shifted, plus its standard error.
}

// shiftTest returns the test of a latency; ok is false when the window has too few responses.
func (c *controlWindow) shiftTest(of func(Sample) time.Duration) (t shiftTest, ok bool) {
	var values [windowSize]time.Duration
	n := 0
	for i := range c.size() {
		if s := &c.samples[i]; s.OK && of(*s) > 0 {
			values[n] = of(*s)
			n++
		}
	}
	if n < minWindow {
		return t, false
	}
	sorted := values[:n]
	slices.Sort(sorted)
	t.threshold = time.Duration(shiftFactor * float64(sorted[n/2]))
	first, _ := slices.BinarySearch(sorted, t.threshold)
	rate := float64(n-first) / float64(n)
	t.rate = rate + math.Sqrt(rate*(1-rate)/float64(n))
	return t, true
}

// shiftRateAround returns an estimate of the probability that a response at an index is shifted, from those around it.
func (c *controlWindow) shiftRateAround(index int, t shiftTest, of func(Sample) time.Duration) float64 {
	n, shifted := 0, 0
	for i := max(index-shiftNeighbours/2, c.total-windowSize, 0); i < min(c.total, index+shiftNeighbours/2); i++ {
		s := &c.samples[i%windowSize]
		if !s.OK || of(*s) <= 0 {
			continue
		}
		n++
		if of(*s) >= t.threshold {
			shifted++
		}
	}
	if shifted == 0 {
		return 0
	}
	return float64(shifted+1) / float64(n+1)
}
