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
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

const (
	// defaultTimeout bounds a request for which neither the caller nor the route sets a timeout.
	defaultTimeout = time.Minute
	// unconfiguredRetryAfter is the Retry-After time of an instance that has no configuration yet.
	unconfiguredRetryAfter = 300 * time.Millisecond
	// minTimeToSend is the least remaining time with which a request is sent to a backend server.
	minTimeToSend = 20 * time.Millisecond
	// transferTime is subtracted from the remaining time that a backend server is given, to allow for the transfer of its
	// answer.
	transferTime = 5 * time.Millisecond
)

// errTimeout is the cancellation cause of a request that has reached its deadline.
var errTimeout = errors.New("request deadline exceeded")

// handle processes a request of a caller.
func (i *Instance) handle(e *http1.Exchange) {
	req := &request{exchange: e, view: i.view.Load(), meta: i.cfg.HeaderCodec.RequestMeta(e.Header)}
	i.metrics.requests.Inc()
	i.active.Add(1)
	defer i.active.Add(-1)
	if !i.recoverPanics("request", func() { i.serve(req) }) {
		i.recoverPanics("end of a request", func() { i.abortPanicked(req) })
	}
	i.metrics.requestDone(req)
	i.logRequest(req)
}

// serve validates a request, charges its quota and runs it.
func (i *Instance) serve(req *request) {
	v := req.view
	if v.Config == nil {
		i.refuse(req, fasthttp.StatusServiceUnavailable, unconfiguredRetryAfter, "no configuration yet")
		return
	}
	if req.route = v.Config.Route(req.exchange.Host(), req.exchange.RequestURI()); req.route == nil {
		i.reply(req, fasthttp.StatusNotFound, "no route")
		return
	}
	if v.Config.RequiresKeys() && !req.route.Public {
		if req.team = v.Config.Team(req.meta.APIKey); req.team == nil {
			i.reply(req, fasthttp.StatusUnauthorized, "unknown key")
			return
		}
	}
	i.prepare(req)
	if r := i.refuseStopping(req); r != nil {
		i.refuse(req, fasthttp.StatusServiceUnavailable, r.RetryAfter, r.Reason)
		return
	}
	if r := i.refuseQuarantined(req); r != nil {
		i.refuse(req, fasthttp.StatusServiceUnavailable, r.RetryAfter, r.Reason)
		return
	}
	if req.team != nil {
		req.units = quotaUnits(req.team, req.meta)
		var r *placement.Refusal
		if err := i.scheduler.Admit(req.team, req.units); errors.As(err, &r) {
			i.refuse(req, fasthttp.StatusTooManyRequests, r.RetryAfter, r.Reason)
			return
		}
	}
	ctx, cancel := context.WithCancelCause(req.exchange.Context)
	defer cancel(nil)
	ctx, cancelDeadline := context.WithDeadlineCause(ctx, req.job.Deadline, errTimeout)
	defer cancelDeadline()
	req.pending = &pendingRequest{stopRequest: req.stopRequest(), route: req.route.Name, cancel: cancel}
	i.pending.add(req.pending)
	defer i.pending.remove(req.pending)
	i.scheduler.CountFirst(req.service)
	i.runAttempts(ctx, req)
	i.recordDuration(ctx, req)
	if req.team != nil && req.runs == 0 {
		i.scheduler.RefundQuota(req.team, req.units)
	}
}

// prepare sets the service and the job of a request.
func (i *Instance) prepare(req *request) {
	limit := defaultTimeout
	if req.meta.Deadline > 0 {
		limit = req.meta.Deadline
	}
	if req.route.Timeout > 0 {
		limit = min(limit, req.route.Timeout)
	}
	objective := req.route.Objective
	if objective <= 0 {
		objective = limit
	}
	tier, team := req.route.Tier, ""
	if req.team != nil {
		team = req.team.Name
		if req.team.Tier >= 0 {
			tier = req.team.Tier
		}
	}
	req.lastEventID = req.meta.LastEventID
	req.service = req.route.Pick(i.random())
	gap := req.route.Gap
	if req.route.Kind != fleet.Stream {
		gap = 0
	}
	req.job = &placement.Job{
		Route: req.route.Name, Team: team, Tier: tier, RouteTier: req.route.Tier, DataCentre: i.cfg.DataCentre,
		PromptTokens: req.meta.PromptTokens, MaxOutputTokens: req.meta.MaxOutputTokens, OutputHint: req.meta.OutputHint,
		Gap: gap, Arrived: req.exchange.ReceivedAt, Prompt: i.placedPrompt(req),
		Objective: req.exchange.ReceivedAt.Add(objective), Deadline: req.exchange.ReceivedAt.Add(limit),
	}
}

// runAttempts tries backend servers until the caller has an answer or no further attempt is possible.
func (i *Instance) runAttempts(ctx context.Context, req *request) {
	for {
		g, err := i.acquire(ctx, req)
		if err != nil {
			i.replyUnplaced(ctx, req, err)
			return
		}
		if time.Until(req.job.Deadline) < minTimeToSend {
			i.scheduler.Finish(g, placement.Outcome{Abandoned: true})
			i.replyUnplaced(ctx, req, errTimeout)
			return
		}
		i.recordPlacement(req, g)
		switch i.attempt(ctx, req, g) {
		case resultAnswered, resultCallerGone:
			return
		case resultFailed:
			i.replyFailed(ctx, req)
			return
		case resultRetry:
			if !req.mayRepeat() || ctx.Err() != nil || i.carriesCrash(req) {
				i.replyFailed(ctx, req)
				return
			}
			req.job.Tried = append(req.job.Tried, g.Server.Incarnation())
			if !req.retryCovered && !i.scheduler.TakeRetry(req.service) {
				req.reason += "; no retry in the budget"
				i.replyFailed(ctx, req)
				return
			}
			i.metrics.retries.Inc()
			i.logRetry(req)
			if req.exchange.HeaderSent() {
				i.metrics.resumed.Inc()
				req.job = resumedJob(req.job, req.route)
			}
		}
	}
}

// recordDuration records how long a request took that reached a backend server, unless its caller or a planned stop ended it.
func (i *Instance) recordDuration(ctx context.Context, req *request) {
	cause := context.Cause(ctx)
	if req.runs > 0 && !errors.Is(cause, http1.ErrCallerGone) && !errors.Is(cause, errStopping) {
		i.durations.record(time.Now(), req.route.Name, req.exchange.ReceivedAt, req.sentAt)
	}
}

// acquire waits until a backend server has room for a request, like Scheduler.Acquire. It refuses a request whose prompt was
// found to crash backend servers meanwhile, and one that could not end before a planned stop does.
func (i *Instance) acquire(ctx context.Context, req *request) (*Grant, error) {
	if !req.pending.beginWait() {
		return nil, errStopping
	}
	g, err := i.acquireCounted(ctx, req)
	if err != nil {
		req.pending.beginSend(time.Now()) // It no longer waits; a failed retry may leave the first answer to be sent.
		return nil, err
	}
	if !i.beginSend(req) {
		i.scheduler.Finish(g, placement.Outcome{Abandoned: true})
		return nil, errStopping
	}
	if r := i.refuseQuarantined(req); r != nil {
		i.scheduler.Finish(g, placement.Outcome{Abandoned: true})
		return nil, r
	}
	return g, nil
}

// recordPlacement records the placement of an attempt for the log line of the request and the metrics.
func (i *Instance) recordPlacement(req *request, g *Grant) {
	i.metrics.requestPlaced(g)
	req.serverID, req.hub = g.Server.ID, g.Hub
	req.placedAfter, req.predictedFirstEvent, req.load = time.Since(req.exchange.ReceivedAt), g.PredictedFirstEvent, g.Load
	req.kept = g.job.Kept
}

// resumedJob returns the job for the rest of an interrupted stream. Its caller waits for the next event and takes precedence
// over callers that wait for their first one.
func resumedJob(j *placement.Job, r *fleet.Route) *placement.Job {
	next := *j
	next.Tier = 0
	next.Arrived = time.Now()
	next.Objective = next.Arrived.Add(r.Gap)
	return &next
}

// replyUnplaced answers a request that was not placed.
func (i *Instance) replyUnplaced(ctx context.Context, req *request, err error) {
	var r *placement.Refusal
	switch {
	case errors.Is(err, http1.ErrCallerGone):
		req.reason = "caller has gone"
		return
	case errors.As(err, &r):
		req.reason = r.Reason
	default:
		req.reason = err.Error()
		r = &placement.Refusal{}
	}
	if req.exchange.HeaderSent() {
		req.exchange.Abort()
		return
	}
	if req.runs > 0 {
		i.replyFailed(ctx, req)
		return
	}
	i.refuse(req, fasthttp.StatusServiceUnavailable, r.RetryAfter, req.reason)
}

// replyFailed gives the final answer to a request that failed at backend servers.
func (i *Instance) replyFailed(ctx context.Context, req *request) {
	switch {
	case errors.Is(context.Cause(req.exchange.Context), http1.ErrCallerGone):
		req.reason = "caller has gone"
	case req.exchange.HeaderSent():
		req.exchange.Abort()
	case req.runs == 0:
		i.refuse(req, fasthttp.StatusServiceUnavailable, i.scheduler.refuseUnplaced(req.service, req.job).RetryAfter, req.reason)
	case errors.Is(context.Cause(ctx), errStopping), !time.Now().Before(req.job.Deadline):
		i.reply(req, fasthttp.StatusGatewayTimeout, req.reason)
	default:
		i.reply(req, fasthttp.StatusBadGateway, req.reason)
	}
}

// refuse answers that the request was not run and when to retry.
func (i *Instance) refuse(req *request, status int, after time.Duration, reason string) {
	seconds := math.Ceil(after.Seconds()*1000) / 1000
	req.status, req.reason = status, reason
	h := http1.ResponseHeader{Status: status}
	req.exchange.Reply(h.WithField(fasthttp.HeaderRetryAfter, strconv.FormatFloat(seconds, 'f', -1, 64)), nil)
}

// reply sends an answer of this instance's own, without a body.
func (i *Instance) reply(req *request, status int, reason string) {
	req.status, req.reason = status, reason
	req.exchange.Reply(http1.ResponseHeader{Status: status}, nil)
}

// quotaUnits returns the units that a request takes from its team's quota.
func quotaUnits(t *fleet.Team, m RequestMeta) float64 {
	switch {
	case !t.Tokens:
		return 1
	case m.HasTokenCounts:
		return float64(m.PromptTokens + m.MaxOutputTokens)
	}
	return float64(t.DefaultTokens)
}
