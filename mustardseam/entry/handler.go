package entry

import (
	"context"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/http1"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

const (
	// defaultTimeout bounds a request whose caller and route name no time.
	defaultTimeout = time.Minute
	// unconfigured is when callers come back to an instance that has no configuration yet.
	unconfigured = 300 * time.Millisecond
	// lateSend is the least time that must be left to send a request to a backend server.
	lateSend = 20 * time.Millisecond
	// transferTime is taken off the time left that a backend server gets, for the way of its answer.
	transferTime = 5 * time.Millisecond
)

// errTimeout is the cause of the end of a request whose time is over.
var errTimeout = errors.New("time of the request is over")

// handle answers a request of a caller.
func (i *Instance) handle(e *http1.Exchange) {
	a := &attempt{exchange: e, view: i.view.Load(), meta: i.cfg.Wire.Meta(e.Header)}
	i.metrics.requests.Inc()
	i.active.Add(1)
	defer i.active.Add(-1)
	if !i.contain("request", func() { i.answer(a) }) {
		i.contain("end of a request", func() { i.abandon(a) })
	}
	i.metrics.done(a)
	i.logDone(a)
}

// answer checks a request and sees it through.
func (i *Instance) answer(a *attempt) {
	v := a.view
	if v.Config == nil {
		i.refuse(a, fasthttp.StatusServiceUnavailable, unconfigured, "no configuration yet")
		return
	}
	if a.route = v.Config.Route(a.exchange.Host(), a.exchange.Path()); a.route == nil {
		i.reply(a, fasthttp.StatusNotFound, "no route")
		return
	}
	if v.Config.Keyed() && !a.route.Public {
		if a.team = v.Config.Team(a.meta.Key); a.team == nil {
			i.reply(a, fasthttp.StatusUnauthorized, "unknown key")
			return
		}
	}
	if i.tooLate(a.route.Kind) {
		i.refuse(a, fasthttp.StatusServiceUnavailable, 0, "instance stops")
		return
	}
	i.prepare(a)
	if a.team != nil {
		a.units = units(a.team, a.meta)
		var r *place.Refusal
		if err := i.scheduler.Admit(a.team, a.units); errors.As(err, &r) {
			i.refuse(a, fasthttp.StatusTooManyRequests, r.After, r.Reason)
			return
		}
	}
	ctx, cancel := context.WithDeadlineCause(a.exchange.Context, a.job.Deadline, errTimeout)
	defer cancel()
	i.scheduler.First(a.service)
	i.attempt(ctx, a)
	if a.team != nil && a.runs == 0 {
		i.scheduler.Return(a.team, a.units)
	}
}

// prepare derives what placing needs to know.
func (i *Instance) prepare(a *attempt) {
	limit := defaultTimeout
	if a.meta.Deadline > 0 {
		limit = a.meta.Deadline
	}
	if a.route.Timeout > 0 {
		limit = min(limit, a.route.Timeout)
	}
	objective := a.route.Objective
	if objective <= 0 {
		objective = limit
	}
	tier, team := a.route.Tier, ""
	if a.team != nil {
		team = a.team.Name
		if a.team.Tier >= 0 {
			tier = a.team.Tier
		}
	}
	a.last = a.meta.LastEvent
	a.service = a.route.Pick(i.random())
	gap := a.route.Gap
	if a.route.Kind != fleet.Stream {
		gap = 0
	}
	a.job = &place.Job{
		Route: a.route.Name, Team: team, Tier: tier, Rank: a.route.Tier, DataCentre: i.cfg.DataCentre,
		Prompt: a.meta.Prompt, Output: a.meta.Output, Hint: a.meta.Hint, Gap: gap, Arrived: a.exchange.Arrived,
		Objective: a.exchange.Arrived.Add(objective), Deadline: a.exchange.Arrived.Add(limit),
	}
}

// attempt tries backend servers until the caller has an answer or nothing more can be done.
func (i *Instance) attempt(ctx context.Context, a *attempt) {
	for {
		g, err := i.scheduler.Obtain(ctx, a.service, a.job)
		if err != nil {
			i.unplaced(a, err)
			return
		}
		if time.Until(a.job.Deadline) < lateSend {
			i.scheduler.Finish(g, place.Outcome{Left: true})
			i.unplaced(a, errTimeout)
			return
		}
		a.server, a.by = g.Server.ID, g.By
		i.metrics.placed(g)
		a.waited, a.expected, a.load = time.Since(a.exchange.Arrived), g.First, g.Load
		switch i.try(ctx, a, g) {
		case answered, left:
			return
		case finished:
			i.giveUp(a)
			return
		case again:
			if !a.mayRepeat() || ctx.Err() != nil {
				i.giveUp(a)
				return
			}
			a.job.Tried = append(a.job.Tried, g.Server.Incarnation())
			if !a.paid && !i.scheduler.Retry(a.service) {
				a.reason += "; no retry in the budget"
				i.giveUp(a)
				return
			}
			i.metrics.retries.Inc()
			i.logRetry(a)
			if a.exchange.Started() {
				i.metrics.resumed.Inc()
				a.job = resumed(a.job, a.route)
			}
		}
	}
}

// resumed returns the job of a stream that is to go on: its caller waits for the next event and goes before those that
// wait for their first one.
func resumed(j *place.Job, r *fleet.Route) *place.Job {
	next := *j
	next.Tier = 0
	next.Arrived = time.Now()
	next.Objective = next.Arrived.Add(r.Gap)
	return &next
}

// unplaced answers a request that was not placed.
func (i *Instance) unplaced(a *attempt, err error) {
	var r *place.Refusal
	switch {
	case errors.Is(err, http1.ErrGone):
		a.reason = "caller has gone"
		return
	case errors.As(err, &r):
		a.reason = r.Reason
	default:
		a.reason = err.Error()
		r = &place.Refusal{}
	}
	if a.exchange.Started() {
		a.exchange.Abort()
		return
	}
	if a.runs > 0 {
		i.giveUp(a)
		return
	}
	i.refuse(a, fasthttp.StatusServiceUnavailable, r.After, a.reason)
}

// giveUp gives the final answer of a request that failed at backend servers.
func (i *Instance) giveUp(a *attempt) {
	switch {
	case errors.Is(context.Cause(a.exchange.Context), http1.ErrGone):
		a.reason = "caller has gone"
	case a.exchange.Started():
		a.exchange.Abort()
	case a.runs == 0:
		i.refuse(a, fasthttp.StatusServiceUnavailable, i.scheduler.giveUp(a.service, a.job).After, a.reason)
	case !time.Now().Before(a.job.Deadline):
		i.reply(a, fasthttp.StatusGatewayTimeout, a.reason)
	default:
		i.reply(a, fasthttp.StatusBadGateway, a.reason)
	}
}

// refuse answers that the request was not run and when to come back.
func (i *Instance) refuse(a *attempt, status int, after time.Duration, reason string) {
	seconds := math.Ceil(after.Seconds()*1000) / 1000
	a.status, a.reason = status, reason
	h := http1.Head{Status: status}
	a.exchange.Reply(h.With(fasthttp.HeaderRetryAfter, strconv.FormatFloat(seconds, 'f', -1, 64)), nil)
}

// reply gives an answer of this system.
func (i *Instance) reply(a *attempt, status int, reason string) {
	a.status, a.reason = status, reason
	a.exchange.Reply(http1.Head{Status: status}, nil)
}

// units returns what a request takes from its team's quota.
func units(t *fleet.Team, m Meta) float64 {
	switch {
	case !t.Tokens:
		return 1
	case m.Counted:
		return float64(m.Prompt + m.Output)
	}
	return float64(t.PlainTokens)
}
