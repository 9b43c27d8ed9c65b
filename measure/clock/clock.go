package clock

import (
	"container/heap"
	"time"
)

// Start is the moment at which every run begins; it is arbitrary but fixed, so that runs repeat exactly.
var Start = time.Unix(1_800_000_000, 0).UTC()

// Clock runs events in the order of their times, and events of the same time in the order of scheduling.
type Clock struct {
	now    time.Duration
	next   uint64
	events queue
}

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return Start.Add(c.now) }

// Since returns the virtual time that has passed since Start.
func (c *Clock) Since() time.Duration { return c.now }

// After runs f when d has passed; a negative d counts as 0.
func (c *Clock) After(d time.Duration, f func()) {
	c.next++
	heap.Push(&c.events, event{at: c.now + max(0, d), order: c.next, run: f})
}

// At runs f at the offset from Start, or at once when that has passed.
func (c *Clock) At(offset time.Duration, f func()) { c.After(offset-c.now, f) }

// Every runs f at each multiple of the period after the first offset, for as long as f returns true.
func (c *Clock) Every(first, period time.Duration, f func() bool) {
	c.After(first, func() {
		if f() {
			c.Every(period, period, f)
		}
	})
}

// Run runs events until none is due at or before the offset from Start.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = max(c.now, until)
}
