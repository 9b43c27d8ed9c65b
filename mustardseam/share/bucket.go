package share

import "time"

// Bucket is a token bucket; its zero value is full when it is first used.
type Bucket struct {
	Rate  float64 // Per second.
	Burst float64

	level float64
	at    time.Time
}

// Begin says what the bucket held at a time before its first use.
func (b *Bucket) Begin(at time.Time, level float64) { b.at, b.level = at, level }

// Level returns what the bucket holds.
func (b *Bucket) Level(now time.Time) float64 {
	b.fill(now)
	return b.level
}

// Take takes n when the bucket holds them.
func (b *Bucket) Take(now time.Time, n float64) bool {
	b.fill(now)
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// Drain takes n whether or not the bucket holds them, as when others have used them.
func (b *Bucket) Drain(now time.Time, n float64) {
	b.fill(now)
	b.level -= n
}

// Until returns how long it takes until the bucket holds n.
func (b *Bucket) Until(now time.Time, n float64) time.Duration {
	b.fill(now)
	if b.level >= n || b.Rate <= 0 {
		return 0
	}
	return time.Duration((n - b.level) / b.Rate * float64(time.Second))
}

// Resize changes the rate and the burst; what the bucket holds is cut to the new burst.
func (b *Bucket) Resize(now time.Time, rate, burst float64) {
	if b.Rate == rate && b.Burst == burst {
		return
	}
	if !b.at.IsZero() && b.Burst > 0 {
		b.fill(now)
		b.level = min(b.level, burst)
	}
	b.Rate, b.Burst = rate, burst
}

func (b *Bucket) fill(now time.Time) {
	if b.Rate == 0 && b.Burst == 0 {
		// Its size is not known yet; the time until then counts once it is.
		return
	}
	if b.at.IsZero() {
		b.level = b.Burst
	} else if d := now.Sub(b.at); d > 0 {
		b.level = min(b.Burst, b.level+b.Rate*d.Seconds())
	}
	b.at = now
}
