package clock

import (
	"container/heap"
	"time"
)

// Start is the virtual time at which every run begins. It is arbitrary but fixed, so that runs are reproducible.
var Start = time.Unix(1_800_000_000, 0).UTC()

// Clock runs events in order of time, and events of the same time in the order in which they were scheduled.
type Clock struct {
	now       time.Duration // Virtual time since Start.
	lastOrder uint64        // Order of the most recently scheduled event.
	events    queue
}

// Now returns the current virtual time.
func (c *Clock) Now() time.Time { return Start.Add(c.now) }

// Since returns the virtual time that has passed since Start.
func (c *Clock) Since() time.Duration { return c.now }

// After schedules f to run when d has passed; a negative d counts as 0.
func (c *Clock) After(d time.Duration, f func()) {
	c.lastOrder++
	heap.Push(&c.events, event{at: c.now + max(0, d), order: c.lastOrder, run: f})
}

// At schedules f to run at the offset from Start, or at the current time if that has passed.
func (c *Clock) At(offset time.Duration, f func()) { c.After(offset-c.now, f) }

// Every schedules f to run when first has passed and then at each period, until f returns false.
func (c *Clock) Every(first, period time.Duration, f func() bool) {
	c.After(first, func() {
		if f() {
			c.Every(period, period, f)
		}
	})
}

// Run runs all events that are due at or before the offset from Start, and advances the time to that offset.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = max(c.now, until)
}
