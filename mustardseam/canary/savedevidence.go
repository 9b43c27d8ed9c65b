package canary

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
)

const (
	// maxRoutes is the number of routes of a service of which the usual failures are known.
	maxRoutes = 256
	// maxSavedRoutes is the number of those that are saved, which bounds the size of the progress.
	maxSavedRoutes = 32
)

// failureBaseline returns the usual failures of a route. With too many routes, as after many changes of the configuration, it forgets
// all of them.
func (c *Controller) failureBaseline(route string) *rollout.FailureBaseline {
	b := c.failures[route]
	if b == nil {
		if len(c.failures) > maxRoutes {
			all := c.failures[""]
			clear(c.failures)
			clear(c.failureAdded)
			if all != nil {
				c.failures[""] = all
			}
		}
		b = &rollout.FailureBaseline{}
		c.failures[route] = b
	}
	return b
}

// counts returns the counts of this controller and of those before it.
func (c *Controller) counts(now time.Time) fleet.RolloutEvidence {
	e := c.prior
	e.Failures += c.targetFailures
	if all := c.analyzers[""]; all != nil {
		s := all.Summary(now)
		e.Responses += all.Candidates()
		e.Slow += s.Slow
		e.Excess += s.Excess
	}
	return e
}

// evidence returns the counts and what is usual.
func (c *Controller) evidence(now time.Time) fleet.RolloutEvidence {
	e := c.counts(now)
	type usual struct {
		route string
		fleet.UsualFailures
	}
	var known []usual
	for route, b := range c.failures {
		if rate, ok := b.Rate(); ok {
			known = append(known, usual{route, fleet.UsualFailures{Rate: math.Round(rate*1e4) / 1e4, Blocks: b.Blocks()}})
		}
	}
	slices.SortFunc(known, func(a, b usual) int { return cmp.Or(cmp.Compare(b.Blocks, a.Blocks), cmp.Compare(a.route, b.route)) })
	for _, u := range known[:min(len(known), maxSavedRoutes)] {
		e = e.WithUsualFailures(u.route, u.UsualFailures)
	}
	e.UsualFirst, e.UsualInterToken = c.baseline.Usual()
	return e
}

// restore takes over the evidence of the controller before.
func (c *Controller) restore(e fleet.RolloutEvidence) {
	c.prior = fleet.RolloutEvidence{Excess: e.Excess}.WithCounts(e)
	for route, u := range e.UsualFailures {
		c.failureBaseline(route).Restore(u.Rate, u.Blocks)
	}
	c.baseline.Restore(e.UsualFirst, e.UsualInterToken)
}

// adopt raises the counts to those that another controller has saved meanwhile.
func (c *Controller) adopt(now time.Time, saved fleet.RolloutEvidence) {
	own := c.counts(now)
	both := own.WithCounts(saved)
	c.prior.Responses += both.Responses - own.Responses
	c.prior.Failures += both.Failures - own.Failures
	c.prior.Slow += both.Slow - own.Slow
}
