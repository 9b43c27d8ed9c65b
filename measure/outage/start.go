package outage

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// start uses a permit within its start window and under the current epoch only.
func (i *instance) start(c *call, p permit, home *instance, sent time.Time) {
	w := i.w
	if i.dead || c.started {
		return
	}
	if c.closed || !i.tenure.CheckEpoch(p.Epoch) || !i.tenure.MayStart(w.Clock.Now(), sent) {
		i.tell(c, home, (*instance).drop)
		return
	}
	c.started = true
	w.Clock.After(between, func() {
		c.ran++
		c.Runs++
		w.Clock.After(service+between, func() { i.ended(c, home) })
	})
}

// ended takes in the service's answer.
func (i *instance) ended(c *call, home *instance) {
	if i.dead {
		return
	}
	i.w.answer(c, Answered)
	i.tell(c, home, (*instance).finish)
}

// tell brings the outcome of a call to the home, or to the next one when that has no journal for a keyed request. It is
// repeated until a home has taken it in.
func (i *instance) tell(c *call, home *instance, outcome func(*instance, *call)) {
	w := i.w
	if home == nil || home.dead {
		home = i.target()
	}
	w.Clock.After(between, func() {
		if home != nil && !home.dead && (c.Key == "" || home.journal != nil) {
			outcome(home, c)
			return
		}
		w.Clock.After(time.Second, func() {
			if !i.dead {
				i.tell(c, nil, outcome)
			}
		})
	})
}

// finish accounts for an answer at the home.
func (i *instance) finish(c *call) {
	now := i.w.Clock.Now()
	delete(i.asked, c.id)
	if i.pool != nil {
		i.pool.Done(now, pool.Outcome{Ask: c.id, Result: pool.OK, Status: 200, FirstToken: service})
	}
	if i.journal != nil {
		i.journal.MarkDone(now, c.id, 200, c.entry.self.Address)
	}
}

// expire gives the final answer to a call whose time is up: it was not run unless it was started.
func (i *instance) expire(c *call) {
	if i.dead || c.closed || c.started {
		return
	}
	i.w.answer(c, NotRun)
	i.tell(c, i.target(), (*instance).drop)
}

// drop forgets the ask of a call that has ended without a start.
func (i *instance) drop(c *call) {
	now := i.w.Clock.Now()
	if i.pool != nil {
		i.pool.Withdraw(now, c.id)
	}
	delete(i.permits, c.id)
	i.unused(c.id)
}
