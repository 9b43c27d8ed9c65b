package entry

import (
	"sync"
	"time"
)

// refusalLogInterval is the shortest time between two log lines on refusals.
const refusalLogInterval = time.Second

// refusalCount counts refusals between two log lines. Its methods are safe for concurrent use.
type refusalCount struct {
	mu      sync.Mutex
	refused int       // Refusals since the latest line. Guarded by mu.
	second  int       // Those of callers that had been refused before. Guarded by mu.
	logged  time.Time // Time of the latest line. Guarded by mu.
}

// add counts a refusal. ok is true if a line is due, which is to show the returned counts.
func (c *refusalCount) add(now time.Time, returned bool) (refused, second int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused++
	if returned {
		c.second++
	}
	if now.Sub(c.logged) < refusalLogInterval {
		return 0, 0, false
	}
	refused, second = c.refused, c.second
	c.refused, c.second, c.logged = 0, 0, now
	return refused, second, true
}
