package retry

import "time"

const (
	defaultBase = 50 * time.Millisecond
	defaultCap  = 2 * time.Second
)

// Backoff spaces retries exponentially with full jitter; zero fields take their defaults.
type Backoff struct {
	Base time.Duration // Upper end of the first delay.
	Cap  time.Duration // Upper end of all delays.
}

// Delay returns the wait before the given attempt (1 is the first retry) for a random number in [0, 1); it is false
// when the wait would outlast the time left.
func (b Backoff) Delay(attempt int, left time.Duration, random float64) (time.Duration, bool) {
	base, limit := b.Base, b.Cap
	if base <= 0 {
		base = defaultBase
	}
	if limit <= 0 {
		limit = defaultCap
	}
	high := base << min(max(0, attempt-1), 20)
	d := time.Duration(random * float64(min(high, limit)))
	return d, d < left
}
