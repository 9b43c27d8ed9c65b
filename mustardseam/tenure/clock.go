package tenure

import "time"

// elapsed returns the longer of the durations measured by the monotonic and the wall clock. Rights expire by it,
// because the monotonic clock may stop while the machine is suspended and the wall clock may be set back.
func elapsed(from, now time.Time) time.Duration {
	return max(now.Sub(from), now.Round(0).Sub(from.Round(0)))
}

// StartDeadline returns the time from which a permit that was obtained by a poll sent at the given time may no longer
// be started.
func (t *Tenure) StartDeadline(sent time.Time) time.Time { return sent.Add(t.cfg.StartWindow) }

// MayStart reports whether a permit obtained by a poll sent at the given time may still be started, by the monotonic
// and by the wall clock.
func (t *Tenure) MayStart(now, sent time.Time) bool { return elapsed(sent, now) < t.cfg.StartWindow }
