package ratelimit

import "time"

// tokenBucket is a token bucket. Its zero value is full once it has a size.
type tokenBucket struct {
	rate  float64 // Units added per second.
	burst float64 // Capacity in units.

	level     float64   // Units at updatedAt; negative if more was deducted than there was.
	updatedAt time.Time // Time of the latest refill.
}

// setLevel sets the level of the bucket as of a time.
func (b *tokenBucket) setLevel(at time.Time, level float64) { b.updatedAt, b.level = at, level }

// currentLevel returns the level of the bucket.
func (b *tokenBucket) currentLevel(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// take removes n units if the bucket holds them, and reports whether it did.
func (b *tokenBucket) take(now time.Time, n float64) bool {
	b.refill(now)
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// deduct removes n units even if the bucket does not hold them, for example because others have used them. A negative n
// credits units.
func (b *tokenBucket) deduct(now time.Time, n float64) {
	b.refill(now)
	b.level -= n
}

// waitFor returns how long it takes until the bucket holds n units.
func (b *tokenBucket) waitFor(now time.Time, n float64) time.Duration {
	b.refill(now)
	if b.level >= n || b.rate <= 0 {
		return 0
	}
	return time.Duration((n - b.level) / b.rate * float64(time.Second))
}

// resize changes the rate and the capacity, and limits the level to the new capacity.
func (b *tokenBucket) resize(now time.Time, rate, burst float64) {
	if b.rate == rate && b.burst == burst {
		return
	}
	if !b.updatedAt.IsZero() && b.burst > 0 {
		b.refill(now)
		b.level = min(b.level, burst)
	}
	b.rate, b.burst = rate, burst
}

// refill adds the units for the time since the latest refill.
func (b *tokenBucket) refill(now time.Time) {
	if b.rate == 0 && b.burst == 0 {
		// The size is not set yet. The elapsed time is counted once it is.
		return
	}
	if b.updatedAt.IsZero() {
		b.level = b.burst
	} else if d := now.Sub(b.updatedAt); d > 0 {
		b.level = min(b.burst, b.level+b.rate*d.Seconds())
	}
	b.updatedAt = now
}
