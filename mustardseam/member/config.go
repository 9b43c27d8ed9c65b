package member

import "time"

// Config describes a table; zero durations mean the defaults.
type Config struct {
	Self    Member        // This instance.
	Suspect time.Duration // Without progress until an instance is suspected; 1.5 s.
	Fail    time.Duration // Without progress until an instance counts as failed; 3 s.
	Pause   time.Duration // Between two calls that counts as a pause of this process; 1 s.
	ListLag time.Duration // How far the platform's list may be behind; 60 s.
}

const (
	defaultSuspect = 1500 * time.Millisecond // Three heartbeats of 500 ms may be lost.
	defaultFail    = 3 * time.Second         // Within the 3 s after which no new work may go to a failed instance.
	defaultPause   = time.Second             // Two heartbeats of 500 ms: a call came late by more than scheduling noise.
	defaultListLag = time.Minute
)

// withDefaults returns the configuration with its zero durations replaced.
func (c Config) withDefaults() Config {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&c.Suspect, defaultSuspect)
	set(&c.Fail, defaultFail)
	set(&c.Pause, defaultPause)
	set(&c.ListLag, defaultListLag)
	return c
}
