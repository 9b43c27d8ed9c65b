package retry

import "time"

const (
	defaultBase = 50 * time.Millisecond
	defaultCap  = 2 * time.Second
)

// Backoff spaces retries exponentially with full jitter. Zero fields use defaults.
type Backoff struct {
	Base time.Duration // Upper limit of the first delay; 0 means defaultBase.
	Cap  time.Duration // Upper limit of all delays; 0 means defaultCap.
}

// Delay returns the delay before the given attempt, of which 1 is the first retry, for a random number in [0, 1). It
// returns false if the delay is not shorter than the time left.
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
