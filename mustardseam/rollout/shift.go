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

// shiftTest compares latencies with the median of a window. Latencies from unclear up to threshold are slower than usual, and
// so is the window: they speak neither for a candidate nor against it.
type shiftTest struct {
	unclear   time.Duration
	threshold time.Duration // Latency from which a response is shifted.
	rate      float64       // Fraction of the window's clear responses that are shifted, plus its standard error.
}

// isUnclear reports whether a latency speaks neither for a candidate nor against it.
func (t shiftTest) isUnclear(d time.Duration) bool { return d >= t.unclear && d < t.threshold }

// shiftTest returns the test of a latency, whose usual value is given unless it is 0; ok is false when the window has too few
// responses.
func (c *controlWindow) shiftTest(usual time.Duration, of func(Sample) time.Duration) (t shiftTest, ok bool) {
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
	t.unclear = t.threshold
	if usual > 0 {
		t.unclear = min(t.threshold, time.Duration(shiftFactor*float64(usual)))
	}
	shifted, _ := slices.BinarySearch(sorted, t.threshold)
	usualUpTo, _ := slices.BinarySearch(sorted, t.unclear)
	counted := n - (shifted - usualUpTo)
	if counted < minWindow {
		t.rate = maxNullRate
		return t, true
	}
	rate := float64(n-shifted) / float64(counted)
	t.rate = rate + math.Sqrt(rate*(1-rate)/float64(counted))
	return t, true
}

// shiftRateAround returns an estimate of the probability that a response at an index is shifted, from those around it.
func (c *controlWindow) shiftRateAround(index int, t shiftTest, of func(Sample) time.Duration) float64 {
	n, shifted := 0, 0
	for i := max(index-shiftNeighbours/2, c.total-windowSize, 0); i < min(c.total, index+shiftNeighbours/2); i++ {
		s := &c.samples[i%windowSize]
		if !s.OK || of(*s) <= 0 || t.isUnclear(of(*s)) {
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

// assessShift counts whether a latency of a response is above the median of the window that it is compared with, and reports
// whether it is slower than usual. An unclear one does not count against the candidate, but withholds a good verdict.
func (an *Analyzer) assessShift(a aspect, w pendingSample, r referenceWindow) bool {
	t, ok := r.shiftTest(an.cfg.Baseline.usual(a), timeOf(a))
	d := time.Duration(float64(timeOf(a)(w.Sample)) / r.allowance)
	if !ok || d <= 0 {
		return false
	}
	if t.isUnclear(d) {
		an.acceptance.add(a, true, unclearNullRate)
		return true
	}
	nullRate := max(minSlowNullRate, t.rate, r.shiftRateAround(r.totalAtArrival, t, timeOf(a)))
	an.addEvidence(a, w, d >= t.threshold, nullRate)
	return d >= t.threshold
}
