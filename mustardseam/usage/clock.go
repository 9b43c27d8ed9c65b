package usage

import (
	"slices"
	"sync"
	"time"
)

const (
	// minVotes is the number of clocks, with the own one, of which a median tells a clock that is wrong.
	minVotes = 3
	// voteLifetime is how long a clock counts after its latest report. The longest interval between reports is 1 s.
	voteLifetime = 3 * time.Second
	// lonelyTime is how long after its start an instance offers its own clock to others without a median. Other instances
	// report within 1 s.
	lonelyTime = 2 * time.Second
	// sampleLifetime is how long a reading of the hub's clock takes precedence over less exact ones.
	sampleLifetime = 5 * time.Second
)

// Clock estimates the true time. The wall clock of the machine is read once, so that a later step of it has no effect. Its
// methods are safe for concurrent use; times on the boot clock are passed in.
type Clock struct {
	mu      sync.Mutex
	start   time.Duration
	own     time.Duration // Wall clock minus boot clock at the start.
	offset  time.Duration // Estimated true time minus boot clock.
	agreed  bool          // offset comes from several clocks.
	votes   map[string]vote
	hub     int64         // Run of the hub of the latest reading.
	bound   time.Duration // Bound of the error of the latest reading.
	reading time.Duration // Time of the latest reading.
}

// vote is the clock of another instance.
type vote struct {
	run    int64
	offset time.Duration // Its wall clock minus the boot clock of this instance.
	at     time.Duration
}

// NewClock returns a clock for an instance that starts at a time of the wall clock and of the boot clock.
func NewClock(wall time.Time, boot time.Duration) *Clock {
	offset := time.Duration(wall.UnixNano()) - boot
	return &Clock{start: boot, own: offset, offset: offset, votes: map[string]vote{}}
}

// Now returns the estimated true time.
func (c *Clock) Now(boot time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, int64(boot+c.offset))
}

// Own returns the time by the clock of this machine alone.
func (c *Clock) Own(boot time.Duration) time.Time { return time.Unix(0, int64(boot+c.own)) }

// Vote records the clock of another instance, as Own returned it there. The delay of messages makes a clock appear slow, so
// that the fastest reading of a run is the most exact one.
func (c *Clock) Vote(boot time.Duration, instance string, run int64, own time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := vote{run: run, offset: time.Duration(own.UnixNano()) - boot, at: boot}
	if old, ok := c.votes[instance]; ok && old.run == run {
		v.offset = max(v.offset, old.offset)
	}
	c.votes[instance] = v
}

// Agree sets the clock to the median of the clocks of all instances, for a hub, and reports whether the clock can be offered
// to others.
func (c *Clock) Agree(boot time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	offsets := []time.Duration{c.own}
	for name, v := range c.votes {
		if boot-v.at > voteLifetime {
			delete(c.votes, name)
			continue
		}
		offsets = append(offsets, v.offset)
	}
	if len(offsets) >= minVotes {
		slices.Sort(offsets)
		c.offset, c.agreed = offsets[(len(offsets)-1)/2], true
	}
	return c.agreed || boot-c.start >= lonelyTime
}

// Adopt sets the clock to that of the hub, which was read between two times.
func (c *Clock) Adopt(sent, received time.Duration, hubRun int64, hub time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bound := (received - sent) / 2
	if c.hub == hubRun && bound > c.bound && received-c.reading < sampleLifetime {
		return
	}
	c.hub, c.bound, c.reading, c.agreed = hubRun, bound, received, true
	c.offset = time.Duration(hub.UnixNano()) - received + bound
}
