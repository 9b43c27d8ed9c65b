package outage

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// start executes the call if its permit is within the start window and of the current epoch, and withdraws it otherwise.
func (i *instance) start(c *call, p permit, home *instance, sent time.Time) {
	w := i.w
	if i.dead || c.started {
		return
	}
	if c.closed || !i.tenure.CheckEpoch(p.Epoch) || !i.tenure.MayStart(w.Clock.Now(), sent) {
		i.reportOutcome(c, home, (*instance).withdrawCall)
		return
	}
	c.started = true
	w.Clock.After(instanceDelay, func() {
		c.executions++
		c.Runs++
		w.Clock.After(serviceTime+instanceDelay, func() { i.completeCall(c, home) })
	})
}

// completeCall answers the caller and reports success to the home once the service has answered.
func (i *instance) completeCall(c *call, home *instance) {
	if i.dead {
		return
	}
	i.w.answer(c, Answered)
	i.reportOutcome(c, home, (*instance).recordSuccess)
}

// reportOutcome reports the outcome of a call to the home, retrying with the current home if the first one has failed or has
// no journal for a keyed request. It retries until a home accepts the report.
func (i *instance) reportOutcome(c *call, home *instance, outcome func(*instance, *call)) {
	w := i.w
	if home == nil || home.dead {
		home = i.grantingInstance()
	}
	w.Clock.After(instanceDelay, func() {
		if home != nil && !home.dead && (c.Key == "" || home.journal != nil) {
			outcome(home, c)
			return
		}
		w.Clock.After(time.Second, func() {
			if !i.dead {
				i.reportOutcome(c, nil, outcome)
			}
		})
	})
}

// recordSuccess records a successful call in the pool and the journal of the home.
func (i *instance) recordSuccess(c *call) {
	now := i.w.Clock.Now()
	delete(i.asked, c.id)
	if i.pool != nil {
		i.pool.Done(now, pool.Outcome{AskID: c.id, Result: pool.OK, Status: 200, FirstToken: serviceTime})
	}
	if i.journal != nil {
		i.journal.MarkDone(now, c.id, 200, c.entry.self.Address)
	}
}

// expire answers a call that reached its timeout without a start as not run.
func (i *instance) expire(c *call) {
	if i.dead || c.closed || c.started {
		return
	}
	i.w.answer(c, NotRun)
	i.reportOutcome(c, i.grantingInstance(), (*instance).withdrawCall)
}

// withdrawCall removes the ask of a call that ended without a start.
func (i *instance) withdrawCall(c *call) {
	now := i.w.Clock.Now()
	if i.pool != nil {
		i.pool.Withdraw(now, c.id)
	}
	delete(i.permits, c.id)
	i.releaseUnused(c.id)
}
