package figure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency is a histogram of durations. Its zero value is empty and ready to use.
type Latency struct {
	histogram *hdrhistogram.Histogram
}

// maxDuration is the largest duration that the histogram records; longer ones count as this value.
const maxDuration = 10 * time.Minute

// Add records one duration.
func (l *Latency) Add(d time.Duration) {
	if l.histogram == nil {
		l.histogram = hdrhistogram.New(1, maxDuration.Microseconds(), 3)
	}
	// The value is within the range of the histogram, so there is no error.
	_ = l.histogram.RecordValue(min(d, maxDuration).Microseconds())
}

// Quantile returns the duration that a share q of the values, 0 to 1, does not exceed. It returns 0 if there are none.
func (l *Latency) Quantile(q float64) time.Duration {
	if l.histogram == nil {
		return 0
	}
	return time.Duration(l.histogram.ValueAtQuantile(q*100)) * time.Microsecond
}

// Figures returns the 50th, 95th and 99th percentiles in milliseconds. A positive bound, in milliseconds, applies to
// the 95th percentile.
func (l *Latency) Figures(name string, bound float64) []Figure {
	ms := func(q float64) float64 { return float64(l.Quantile(q).Microseconds()) / 1000 }
	p95 := New(name+"-p95", ms(0.95), "ms")
	if bound > 0 {
		p95 = p95.WithBound(AtMost, bound, Targets)
	}
	return []Figure{New(name+"-p50", ms(0.5), "ms"), p95, New(name+"-p99", ms(0.99), "ms")}
}
