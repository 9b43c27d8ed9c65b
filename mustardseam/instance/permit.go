package instance

import (
	"net/http"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/caller"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/peer"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/mustardseam/tenure"
)

const (
	// maxAskHold is the longest time for which a home may hold a poll. It is below the start window, which is counted
	// from the poll.
	maxAskHold = 300 * time.Millisecond
	// askRetryDelay is the delay before an ask is sent again when no home accepted it.
	askRetryDelay = 50 * time.Millisecond
	// inProgressTimeout is how long a request waits for the outcome of a running request with the same key. The answer
	// of an attempt that has just ended may reach its caller before the outcome reaches the home.
	inProgressTimeout = 500 * time.Millisecond
	// homeTimeout is how long a request waits while no home answers. A takeover, or the switch to static shares in an
	// outage of the store, takes less.
	homeTimeout = 15 * time.Second
)

// acquirePermit polls the home of the route's pool until it has decided. It returns a permit that may be started at
// once, the answer of an earlier request with the same key, or a problem. Previous is the outcome of the previous
// attempt, nil for the first.
func (i *Instance) acquirePermit(r caller.Request, a *pool.Ask, previous *pool.Outcome) (pool.Permit, caller.Exchange, *caller.Problem) {
	h := (*i.homes.Load())[r.Route.Pool]
	if h == nil {
		return pool.Permit{}, nil, caller.NewProblem("not-ready", http.StatusServiceUnavailable, r.IdempotencyKey == "",
			"the route's pool is not known yet").WithRetryAfter(time.Second)
	}
	firstAsked := i.cfg.Now()
	lastAnswered := firstAsked
	notRun := r.IdempotencyKey == "" // Nothing has run, under the request's key either, as far as the last answer of the home says.
	for {
		now := i.cfg.Now()
		if i.draining.Load() {
			h.withdraw(a.ID)
			return pool.Permit{}, nil, drainingProblem(notRun)
		}
		if callerGone(r) {
			h.withdraw(a.ID)
			return pool.Permit{}, nil, caller.NewProblem("caller-gone", statusCallerGone, notRun, "the caller ended the connection")
		}
		remaining := r.Deadline.Sub(now)
		if remaining <= 0 {
			h.withdraw(a.ID)
			return pool.Permit{}, nil, caller.NewProblem("deadline-exceeded", http.StatusGatewayTimeout, notRun,
				"the request was still waiting at its deadline").WithRetryAfter(time.Second)
		}
		answer := i.askHome(h, *a, remaining, previous)
		notRun = r.IdempotencyKey == "" || answer.NotRun
		switch answer.Status {
		case peer.Granted:
			if h.mayStart(i.cfg.Now(), now, answer.Permit.Epoch) {
				return *answer.Permit, nil, nil
			}
			event.PermitStale.Log(&i.log).Str("request", a.ID).Str("server", answer.Permit.Server).Send()
			previous = &pool.Outcome{AskID: a.ID, Result: pool.NotRun, PermitUnused: true}
			i.report(r.Route.Pool, *previous)
			a.ID = i.nextID()
		case peer.InProgress:
			if i.cfg.Now().Sub(firstAsked) >= inProgressTimeout {
				return pool.Permit{}, nil, refusalProblem(answer, false)
			}
			i.sleep(askRetryDelay)
			a.ID = i.nextID() // The home would repeat its decision for the same id.
		case peer.Done:
			x, problem := i.replayAnswer(answer)
			return pool.Permit{}, x, problem
		case peer.Pending:
			lastAnswered = i.cfg.Now()
		case peer.NotHome, "":
			if i.cfg.Now().Sub(lastAnswered) > homeTimeout {
				h.withdraw(a.ID)
				return pool.Permit{}, nil, caller.NewProblem("home-unreachable", http.StatusServiceUnavailable, notRun,
					"no home of the pool answers this instance").WithRetryAfter(time.Second)
			}
			i.sleep(askRetryDelay)
		default:
			return pool.Permit{}, nil, refusalProblem(answer, notRun)
		}
	}
}

// statusCallerGone is the status of a request whose caller has closed the connection; no caller receives it.
const statusCallerGone = 499

// callerGone reports whether the caller has closed the connection.
func callerGone(r caller.Request) bool {
	select {
	case <-r.Disconnected:
		return true
	default:
		return false
	}
}

// askHome polls the home of the pool once. An empty status in the answer means that no home answered.
func (i *Instance) askHome(h *home, a pool.Ask, remaining time.Duration, previous *pool.Outcome) peer.AskAnswer {
	hold := min(maxAskHold, remaining)
	r := peer.AskRequest{
		Proto: peer.CurrentProto(), Region: i.cfg.Region, Pool: h.name, Ask: a,
		LeftMS: remaining.Milliseconds(), HoldMS: max(1, hold.Milliseconds()), Marks: i.marks.List(),
		Previous: previous,
	}
	addr, self, ok := h.homeTarget(i.cfg.Now())
	if self {
		return h.handleAsk(r)
	}
	if !ok {
		return peer.AskAnswer{}
	}
	answer, err := i.peers.Ask(addr, r)
	if err != nil {
		return peer.AskAnswer{}
	}
	return answer
}

// homeTarget returns the address of the pool's home. Self is true if this instance serves the pool, and ok is false if
// the home is unknown.
func (h *home) homeTarget(now time.Time) (addr string, self, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.servingEpoch != 0 || h.tenure.Mode(now) == tenure.Static {
		return "", true, true
	}
	ref, ok := h.tenure.HomeRef()
	return ref.Address, false, ok && ref.Home != h.inst.cfg.Incarnation
}

// mayStart reports whether a permit of the epoch may still be started if its poll was sent at the given time.
func (h *home) mayStart(now, sent time.Time, epoch uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tenure.CheckEpoch(epoch) && h.tenure.MayStart(now, sent)
}

// refusalProblem converts the home's refusal to a problem. If notRun is true, nothing has run, under the request's key
// either.
func refusalProblem(a peer.AskAnswer, notRun bool) *caller.Problem {
	switch a.Status {
	case peer.InProgress:
		return caller.NewProblem("in-progress", http.StatusConflict, false,
			"a request with this key is running").WithRetryAfter(time.Second)
	case peer.Expired:
		return caller.NewProblem("key-expired", http.StatusConflict, false,
			"the time in the key lies outside the time that keys are remembered")
	case peer.Unknown:
		return caller.NewProblem("outcome-unknown", http.StatusConflict, false,
			"it is not known whether the request with this key ran; it will not be run again")
	case peer.ClaimUnavailable:
		return caller.NewProblem("claim-unavailable", http.StatusServiceUnavailable, notRun,
			"the key cannot be recorded while the store does not answer").WithRetryAfter(5 * time.Second)
	}
	if a.Refusal == nil {
		return caller.NewProblem("refused", http.StatusServiceUnavailable, notRun, "the request was refused").
			WithRetryAfter(time.Second)
	}
	status := http.StatusServiceUnavailable
	if a.Refusal.Reason == pool.UnknownRoute {
		status = http.StatusNotFound
	}
	wait := a.Refusal.RetryAfter
	if wait <= 0 && status == http.StatusServiceUnavailable {
		wait = time.Second
	}
	return caller.NewProblem(string(a.Refusal.Reason), status, notRun,
		"the request was refused before it ran").WithRetryAfter(wait)
}
