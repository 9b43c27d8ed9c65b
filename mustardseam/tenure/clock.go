package tenure

import "time"

// elapsed returns the longer of the times that the monotonic and the wall clock show. Rights end by it: the monotonic
// clock may stand still while the machine is suspended, and the wall clock may be set back.
func elapsed(from, now time.Time) time.Duration {
	return max(now.Sub(from), now.Round(0).Sub(from.Round(0)))
}

// StartBy returns the moment until which a permit may be started whose poll was sent at the given time.
func (t *Tenure) StartBy(sent time.Time) time.Time { return sent.Add(t.cfg.StartWindow) }

// MayStart tells whether a permit whose poll was sent at the given time may be started now, by both clocks.
func (t *Tenure) MayStart(now, sent time.Time) bool { return elapsed(sent, now) < t.cfg.StartWindow }
