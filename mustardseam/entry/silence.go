package entry

import (
	"errors"
	"time"
)

// silenceTime is how long instances that went silent are taken to be cut off from this one and to serve callers; those that
// lost power for longer have been replaced or are gone.
const silenceTime = 15 * time.Second

// silence is what an instance makes of others that do not answer its reports; its zero value knows of none.
type silence struct {
	nodes int
	since time.Time
}

// after returns the silence after a report that failed. An instance that refuses or closes the connection is known to be
// down. One that is silent may be cut off and still send to the same backend servers, with all others that were known.
func (s silence) after(now time.Time, err error, known int) silence {
	var t interface{ Timeout() bool }
	if !errors.As(err, &t) || !t.Timeout() {
		return silence{}
	}
	if s.nodes > 0 {
		return s
	}
	return silence{nodes: known, since: now}
}

// count returns the number of instances that may still run.
func (s silence) count(now time.Time) int {
	if now.Sub(s.since) > silenceTime {
		return 0
	}
	return s.nodes
}
