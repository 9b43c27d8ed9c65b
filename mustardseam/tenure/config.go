package tenure

import "time"

// Config sets up a Tenure; zero durations stand for the defaults.
type Config struct {
	Self Candidate
	Pool string

	GrantRight    time.Duration // How long a confirmation lasts; 2 s.
	StartWindow   time.Duration // How long after its poll a permit may be started; 700 ms.
	Drift         float64       // Bound of the relative error between two clocks; 0.1.
	Renew         time.Duration // Interval of confirmations; 500 ms.
	ExcuseAfter   time.Duration // Continuous absence from the list that counts as gone; 3 s.
	Stagger       time.Duration // Delay of a takeover per live candidate that is preferred; 2 s.
	MaxCandidates int           // Most candidates in a record; 8.
}

func (c Config) withDefaults() Config {
	set(&c.GrantRight, 2*time.Second)
	set(&c.StartWindow, 700*time.Millisecond)
	set(&c.Drift, 0.1)
	set(&c.Renew, 500*time.Millisecond)
	set(&c.ExcuseAfter, 3*time.Second)
	set(&c.Stagger, 2*time.Second)
	set(&c.MaxCandidates, 8)
	return c
}

func set[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

// drifted lengthens a wait so that it covers d on any other instance's clock.
func (c Config) drifted(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.Drift)
}

// wait is the time after which every right of an earlier home and all its permits are void.
func (c Config) wait() time.Duration { return c.drifted(c.GrantRight + c.StartWindow) }
