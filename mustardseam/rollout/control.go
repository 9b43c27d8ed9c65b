package rollout

import (
	"math"
	"time"
)

const (
	// windowSize is the number of the control's latest answers per load bucket that an answer is compared to.
	windowSize = 64
	// enough is the number of answers from which a window is used: the fewest of which one can be the slowest tenth.
	enough = 9
	// slowTenth is the part of the control's answers that counts as slow: those beyond its 90th percentile.
	slowTenth = 0.1
)

// control is a bounded window of the control's latest answers in one load bucket, or in all of them.
type control struct {
	list [windowSize]Sample
	last time.Time
	sequence
}

func (c *control) add(now time.Time, s Sample, bad flags) {
	c.list[c.total%windowSize] = s
	c.last = now
	c.sequence.add(bad)
}

func (c *control) size() int { return min(c.total, windowSize) }

// failureRate returns the rate of failures in the window plus its standard error.
func (c *control) failureRate() float64 {
	n, failed := float64(max(c.size(), 1)), 0.0
	for _, s := range c.list[:c.size()] {
		if !s.OK {
			failed++
		}
	}
	rate := failed / n
	return rate + math.Sqrt(rate*(1-rate)/n)
}

// slow reports whether the time is beyond the 90th percentile of the window: at most a tenth of the window and the time
// itself are as long, so it happens to at most a tenth of answers like the control's (conformal p-value; Vovk, 2005).
// ok is false when the window has too few times.
func (c *control) slow(d time.Duration, of func(Sample) time.Duration) (slow, ok bool) {
	n, longer := 0, 0
	for i := range c.size() {
		s := &c.list[i]
		if !s.OK || of(*s) <= 0 {
			continue
		}
		n++
		if of(*s) >= d {
			longer++
		}
	}
	return float64(longer+1) <= slowTenth*float64(n+1), n >= enough
}
