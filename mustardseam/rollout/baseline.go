package rollout

import (
	"slices"
	"time"
)

const (
	// baselineMedians is the number of medians of which a baseline is the lowest; older ones are forgotten.
	baselineMedians = 64
	// baselineSamples is the number of responses of each median.
	baselineSamples = 32
)

// Baseline holds the usual latencies of a service, from responses before a rollout. During the rollout it shows whether the
// control itself is slower than usual, so that a comparison with it says nothing in favour of a candidate that is as slow.
// Its zero value is empty.
type Baseline struct {
	samples []Sample
	medians [2][]time.Duration // The latest medians of the first token and of the inter-token latency.
}

// Add records a response outside of rollouts; failures are ignored.
func (b *Baseline) Add(s Sample) {
	if !s.OK {
		return
	}
	if b.samples = append(b.samples, s); len(b.samples) < baselineSamples {
		return
	}
	for i, a := range []aspect{firstToken, interToken} {
		if m := median(b.samples, timeOf(a)); m > 0 {
			b.medians[i] = append(b.medians[i], m)
			b.medians[i] = b.medians[i][max(0, len(b.medians[i])-baselineMedians):]
		}
	}
	b.samples = b.samples[:0]
}

// Restore takes over usual latencies that another baseline has found, unless the baseline has found its own; 0 means unknown.
func (b *Baseline) Restore(firstToken, interToken time.Duration) {
	for i, d := range []time.Duration{firstToken, interToken} {
		if d > 0 && len(b.medians[i]) == 0 {
			b.medians[i] = []time.Duration{d}
		}
	}
}

// Usual returns the usual latencies; 0 means unknown.
func (b *Baseline) Usual() (firstToken, interToken time.Duration) {
	var usual [2]time.Duration
	for i, medians := range b.medians {
		if len(medians) > 0 {
			usual[i] = slices.Min(medians)
		}
	}
	return usual[0], usual[1]
}

// usual returns the usual latency of an aspect; 0 if it is unknown. The time to the first token counts only for a service
// without an inter-token latency, since it also depends on how long a request waits for a slot.
func (b *Baseline) usual(a aspect) time.Duration {
	i := 1
	if a == firstTokenShift {
		if i = 0; b == nil || len(b.medians[1]) > 0 {
			return 0
		}
	}
	if b == nil || len(b.medians[i]) == 0 {
		return 0
	}
	return slices.Min(b.medians[i])
}

// median returns the median of a latency over the samples that have it; 0 if there are fewer than minWindow.
func median(samples []Sample, of func(Sample) time.Duration) time.Duration {
	var values []time.Duration
	for _, s := range samples {
		if of(s) > 0 {
			values = append(values, of(s))
		}
	}
	if len(values) < minWindow {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
