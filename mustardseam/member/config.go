package member

import "time"

// Config configures a Table. Zero durations select the defaults.
type Config struct {
	Self Member // This instance.
	// SuspectAfter is the time without progress after which an instance is suspected; default 1.5 s.
	SuspectAfter time.Duration
	// FailAfter is the time without progress after which an instance counts as failed; default 3 s.
	FailAfter time.Duration
	// PauseThreshold is the gap between two calls above which this process counts as having been paused; default 1 s.
	PauseThreshold time.Duration
	// MaxListLag is how far the platform's list may lag behind; default 60 s.
	MaxListLag time.Duration
}

const (
	defaultSuspectAfter   = 1500 * time.Millisecond // Three heartbeats, sent every 500 ms, may be lost.
	defaultFailAfter      = 3 * time.Second         // A failed instance must get no new work 3 s after its failure.
	defaultPauseThreshold = time.Second             // Two heartbeat intervals of 500 ms; a longer delay is not scheduling noise.
	defaultMaxListLag     = time.Minute
)

// withDefaults returns the configuration with zero durations replaced by the defaults.
func (c Config) withDefaults() Config {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&c.SuspectAfter, defaultSuspectAfter)
	set(&c.FailAfter, defaultFailAfter)
	set(&c.PauseThreshold, defaultPauseThreshold)
	set(&c.MaxListLag, defaultMaxListLag)
	return c
}
