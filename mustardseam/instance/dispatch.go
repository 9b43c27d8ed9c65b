package instance

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/caller"
	"github.com/mustardseam/mustardseam/mustardseam/engine"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/peer"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/mustardseam/service"
	"github.com/mustardseam/mustardseam/operator"
)

// Config returns the current configuration, nil before the first one.
func (i *Instance) Config() *revision.Config { return i.holder.Current() }

// Handle runs a request until its answer begins, or returns the problem that ended it.
func (i *Instance) Handle(r caller.Request) (caller.Exchange, *caller.Problem) {
	if !i.beginRequest() {
		return nil, drainingProblem(r.IdempotencyKey == "")
	}
	if i.waiting.Load() >= int64(i.cfg.MaxWaiting) {
		i.endRequest()
		return nil, caller.NewProblem("instance-full", http.StatusServiceUnavailable, r.IdempotencyKey == "",
			"too many requests wait at this instance").WithRetryAfter(time.Second)
	}
	x, problem := i.run(r)
	if problem != nil {
		i.endRequest()
	}
	return x, problem
}

// run obtains a permit and dispatches the request, and repeats both as long as the attempt certainly did not run.
func (i *Instance) run(r caller.Request) (caller.Exchange, *caller.Problem) {
	i.metrics.Add("requests", 1)
	ask := i.newAsk(r)
	var previous *pool.Outcome
	for {
		i.waiting.Add(1)
		permit, x, problem := i.acquirePermit(r, &ask, previous)
		i.waiting.Add(-1)
		if problem != nil || x != nil {
			return x, problem
		}
		x, again, problem := i.dispatch(r, ask, permit)
		if !again {
			return x, problem
		}
		i.metrics.Add("attempts-not-run", 1)
		previous = &pool.Outcome{AskID: ask.ID, Result: pool.NotRun}
		ask = i.nextAsk(ask, permit.Server)
	}
}

// newAsk returns the ask of a request's first attempt.
func (i *Instance) newAsk(r caller.Request) pool.Ask {
	a := pool.Ask{
		ID: i.nextID(), EntryInstance: i.cfg.Incarnation, DataCentre: i.cfg.DataCentre,
		Team: r.Team.Name, Group: r.Group, Tier: r.Tier.Rank, Route: r.Route.Name,
		PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens, Prefix: r.Prefix, Deadline: r.Deadline,
		NonIdempotent: r.NonIdempotent,
	}
	if r.IdempotencyKey != "" {
		a.Key = r.IdempotencyKey
	}
	return a
}

// nextAsk returns the ask that retries a request which certainly did not run; it avoids the server that refused it.
func (i *Instance) nextAsk(a pool.Ask, refusedBy string) pool.Ask {
	a.ID = i.nextID()
	a.Attempt++
	a.Avoid = append(append([]string{}, a.Avoid...), refusedBy)
	return a
}

func (i *Instance) nextID() string {
	return i.cfg.Incarnation + "-" + strconv.FormatUint(i.sequence.Add(1), 36)
}

// dispatch starts a granted request on its backend server. Retry is true if the request certainly did not run, so that
// another permit may be requested.
func (i *Instance) dispatch(r caller.Request, a pool.Ask, p pool.Permit) (x caller.Exchange, retry bool, problem *caller.Problem) {
	i.metrics.Add("dispatched", 1)
	if r.Kind == operator.Services {
		return i.callService(r, a, p)
	}
	return i.startEngine(r, a, p)
}

// startEngine starts a request on an engine.
func (i *Instance) startEngine(r caller.Request, a pool.Ask, p pool.Permit) (caller.Exchange, bool, *caller.Problem) {
	body, err := withStreaming(r.Body)
	if err != nil {
		i.report(r.Route.Pool, pool.Outcome{AskID: a.ID, Result: pool.NotRun})
		return nil, false, caller.NewProblem("bad-request", http.StatusBadRequest, true, err.Error())
	}
	call := engine.Call{ID: a.ID, Address: p.Address, Path: r.Path, Body: body, Deadline: r.Deadline}
	x := &modelExchange{inst: i, request: r, ask: a, permit: p, call: call, started: i.cfg.Now(), finishReason: "stop"}
	x.stream, err = i.engines.Start(call)
	if err == nil {
		return x, false, nil
	}
	var status *engine.StatusError
	switch {
	case errors.Is(err, engine.ErrNotRun):
		i.reportNotRun(r, a, p, err)
		return nil, true, nil
	case errors.As(err, &status):
		i.report(r.Route.Pool, pool.Outcome{AskID: a.ID, Result: pool.Failed, Status: status.Status})
		if status.Status/100 == 4 {
			return nil, false, caller.NewProblem("backend-refused", status.Status, false, string(status.Body))
		}
		return nil, false, caller.NewProblem("backend-failed", http.StatusBadGateway, false, err.Error())
	}
	// The request may be running although nobody reads its answer; the cancel saves the engine that work.
	_ = i.engines.Cancel(p.Address, a.ID)
	i.report(r.Route.Pool, pool.Outcome{AskID: a.ID, Result: pool.Unknown})
	return nil, false, unknownOutcomeProblem(err)
}

// callService sends a request to a service and reads the whole response.
func (i *Instance) callService(r caller.Request, a pool.Ask, p pool.Permit) (caller.Exchange, bool, *caller.Problem) {
	started := i.cfg.Now()
	out, err := i.services.Do(service.Call{
		Address: p.Address, Method: r.Method, Path: r.Path, Header: r.Header, Body: r.Body, Deadline: r.Deadline,
	})
	switch {
	case errors.Is(err, service.ErrNotRun):
		i.reportNotRun(r, a, p, err)
		return nil, true, nil
	case err != nil:
		i.report(r.Route.Pool, pool.Outcome{AskID: a.ID, Result: pool.Unknown})
		return nil, false, unknownOutcomeProblem(err)
	}
	s := storedAnswer{Status: out.Status, Header: out.Header, Body: out.Body}
	if a.Key != "" {
		i.replay.put(a.ID, s)
	}
	o := pool.Outcome{AskID: a.ID, Result: pool.OK, Status: out.Status, FirstToken: i.cfg.Now().Sub(started), PromptTokens: 1}
	if out.Status >= http.StatusInternalServerError {
		o.Result = pool.Failed
	}
	i.finish(r, o)
	return &wholeExchange{storedAnswer: s}, false, nil
}

// reportNotRun reports an attempt that certainly did not run. The next ask carries the same report, but it may never be
// sent.
func (i *Instance) reportNotRun(r caller.Request, a pool.Ask, p pool.Permit, err error) {
	event.RequestNotRun.Log(&i.log).Str("request", a.ID).Str("server", p.Server).Err(err).Send()
	i.report(r.Route.Pool, pool.Outcome{AskID: a.ID, Result: pool.NotRun})
}

// finish reports the outcome of a request whose answer has ended, and removes it from the running requests.
func (i *Instance) finish(r caller.Request, o pool.Outcome) {
	i.report(r.Route.Pool, o)
	i.metrics.Add("finished-"+string(o.Result), 1)
	i.endRequest()
}

// replayAnswer returns the stored answer of an earlier request with the same key, from this instance or from the one at
// a.AnswerAddress.
func (i *Instance) replayAnswer(a peer.AskAnswer) (caller.Exchange, *caller.Problem) {
	b, ok := i.replay.get(a.Request)
	if !ok && a.AnswerAddress != "" && a.AnswerAddress != i.PeerAddress() {
		var err error
		b, err = i.peers.Answer(a.AnswerAddress, a.Request)
		ok = err == nil
	}
	var s storedAnswer
	if !ok || json.Unmarshal(b, &s) != nil {
		return nil, caller.NewProblem("already-done", http.StatusConflict, false,
			fmt.Sprintf("the request with this key has run, its status was %d, and its answer is no longer held", a.HTTPStatus))
	}
	header := map[string]string{"Mustardseam-Replayed": "true"}
	for k, v := range s.Header {
		header[k] = v
	}
	s.Header = header
	i.endRequest()
	return &wholeExchange{storedAnswer: s}, nil
}

func unknownOutcomeProblem(err error) *caller.Problem {
	return caller.NewProblem("outcome-unknown", http.StatusBadGateway, false, "it is not known whether the request ran: "+err.Error())
}

func drainingProblem(notRun bool) *caller.Problem {
	return caller.NewProblem("draining", http.StatusServiceUnavailable, notRun,
		"this instance is stopping").WithRetryAfter(time.Second)
}
