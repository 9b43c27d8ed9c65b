package rollout

import (
	"math"
	"time"
)

const (
	// windowSize is the number of the control's latest responses in each window.
	windowSize = 64
	// minWindow is the number of latencies from which a window is used: the fewest among which one can be the slowest tenth.
	minWindow = 9
	// slowFraction is the fraction of the control's responses that counts as slow: those beyond the 90th percentile.
	slowFraction = 0.1
)

// controlWindow holds the control's latest responses in one load bucket or in all of them.
type controlWindow struct {
	samples [windowSize]Sample    // Ring buffer; the response with index n is at n%windowSize.
	times   [windowSize]time.Time // Times of arrival, in the same order.
	last    time.Time             // Time of the latest response.
	flagHistory
}

func (c *controlWindow) add(now time.Time, s Sample, bad aspectSet) {
	c.samples[c.total%windowSize] = s
	c.times[c.total%windowSize] = now
	c.last = now
	c.flagHistory.add(bad)
}

func (c *controlWindow) size() int { return min(c.total, windowSize) }

// countSince returns the number of responses in the window that arrived at a time or later.
func (c *controlWindow) countSince(t time.Time) int {
	n := 0
	for n < c.size() && !c.times[(c.total-1-n)%windowSize].Before(t) {
		n++
	}
	return n
}

// medianLatency returns the median of a latency over the latest n responses; 0 if too few of them have it.
func (c *controlWindow) medianLatency(n int, of func(Sample) time.Duration) time.Duration {
	latest := make([]Sample, 0, windowSize)
	for i := c.total - min(n, c.size()); i < c.total; i++ {
		latest = append(latest, c.samples[i%windowSize])
	}
	return median(latest, of)
}

// failureRate returns the rate of failures in the window plus its standard error.
func (c *controlWindow) failureRate() float64 {
	n, failed := float64(max(c.size(), 1)), 0.0
	for _, s := range c.samples[:c.size()] {
		if !s.OK {
			failed++
		}
	}
	rate := failed / n
	return rate + math.Sqrt(rate*(1-rate)/n)
}

// slow reports whether a latency is beyond the 90th percentile of the window: at most a tenth of the window's latencies
// and itself are as long, so at most a tenth of responses like the control's are slow (conformal p-value; Vovk, 2005).
// The function of returns the latency of a sample. ok is false when the window has too few latencies.
func (c *controlWindow) slow(d time.Duration, of func(Sample) time.Duration) (slow, ok bool) {
	n, atLeastAsLong := 0, 0
	for i := range c.size() {
		s := &c.samples[i]
		if !s.OK || of(*s) <= 0 {
			continue
		}
		n++
		if of(*s) >= d {
			atLeastAsLong++
		}
	}
	return float64(atLeastAsLong+1) <= slowFraction*float64(n+1), n >= minWindow
}
