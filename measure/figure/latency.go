package figure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency collects durations; its zero value is empty.
type Latency struct {
	h *hdrhistogram.Histogram
}

// longest is the largest duration that is told apart from longer ones.
const longest = 10 * time.Minute

// Add takes in one duration.
func (l *Latency) Add(d time.Duration) {
	if l.h == nil {
		l.h = hdrhistogram.New(1, longest.Microseconds(), 3)
	}
	// The value lies within the range, so that there is no error.
	_ = l.h.RecordValue(min(d, longest).Microseconds())
}

// Quantile returns the duration that the share q, 0 to 1, does not exceed.
func (l *Latency) Quantile(q float64) time.Duration {
	if l.h == nil {
		return 0
	}
	return time.Duration(l.h.ValueAtQuantile(q*100)) * time.Microsecond
}

// Figures returns the 50th, 95th and 99th percentiles in milliseconds; a positive bound, in milliseconds, is set for
// the 95th.
func (l *Latency) Figures(name string, bound float64) []Figure {
	ms := func(q float64) float64 { return float64(l.Quantile(q).Microseconds()) / 1000 }
	p95 := New(name+"-p95", ms(0.95), "ms")
	if bound > 0 {
		p95 = p95.With(AtMost, bound, Targets)
	}
	return []Figure{New(name+"-p50", ms(0.5), "ms"), p95, New(name+"-p99", ms(0.99), "ms")}
}
