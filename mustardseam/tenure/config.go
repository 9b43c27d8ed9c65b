package tenure

import "time"

// Config configures a Tenure. Zero values select the defaults.
type Config struct {
	// Self is the incarnation and address of this instance.
	Self Candidate
	// Pool is the name of the pool.
	Pool string

	// RightDuration is how long a confirmation entitles the home to grant; default 2 s.
	RightDuration time.Duration
	// StartWindow is how long after its poll was sent a permit may be started; default 700 ms.
	StartWindow time.Duration
	// MaxClockDrift bounds the relative rate error between two clocks; default 0.1.
	MaxClockDrift float64
	// RenewInterval is the time between two confirmations; default 500 ms.
	RenewInterval time.Duration
	// EndedAfter is how long an instance must be continuously absent from the list to count as ended; default 3 s.
	EndedAfter time.Duration
	// TakeoverStagger is the takeover delay for each live, more preferred candidate; default 2 s.
	TakeoverStagger time.Duration
	// MaxCandidates bounds the candidates in a record; default 8.
	MaxCandidates int
}

func (c Config) withDefaults() Config {
	setDefault(&c.RightDuration, 2*time.Second)
	setDefault(&c.StartWindow, 700*time.Millisecond)
	setDefault(&c.MaxClockDrift, 0.1)
	setDefault(&c.RenewInterval, 500*time.Millisecond)
	setDefault(&c.EndedAfter, 3*time.Second)
	setDefault(&c.TakeoverStagger, 2*time.Second)
	setDefault(&c.MaxCandidates, 8)
	return c
}

// setDefault stores value in *p if *p is the zero value.
func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// withDrift extends d so that at least d elapses on every other instance's clock.
func (c Config) withDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.MaxClockDrift)
}

// earlierRightsExpiry returns the time after which all rights of earlier homes and all permits granted under them
// have expired.
func (c Config) earlierRightsExpiry() time.Duration {
	return c.withDrift(c.RightDuration + c.StartWindow)
}
