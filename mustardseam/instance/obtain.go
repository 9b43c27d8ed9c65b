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
	// askHold is how long a home may hold a poll; it is below the start window, which is counted from the poll.
	askHold = 300 * time.Millisecond
	// askRetry is the wait before an ask goes out again when no home took it.
	askRetry = 50 * time.Millisecond
	// settling is how long a request with the key of a running one waits for its outcome: the answer of an attempt that has
	// just ended may reach its caller before the outcome reaches the home.
	settling = 500 * time.Millisecond
	// homeless is how long a request waits while no home answers; a takeover, or static shares in an outage of the
	// store, take less.
	homeless = 15 * time.Second
)

// obtain asks the home of the route's pool until it has decided. It returns a permit that may be started at once, or the
// answer of an earlier request with the same key, or a problem. Previous is the outcome of the attempt before.
func (i *Instance) obtain(r caller.Request, a *pool.Ask, previous *pool.Outcome) (pool.Permit, caller.Exchange, *caller.Problem) {
	h := (*i.homes.Load())[r.Route.Pool]
	if h == nil {
		return pool.Permit{}, nil, caller.NewProblem("not-ready", http.StatusServiceUnavailable, r.Key == "",
			"the route's pool is not known yet").WithRetryAfter(time.Second)
	}
	began := i.cfg.Now()
	answered := began
	notRun := r.Key == "" // What the newest answer of the home says of a key.
	for {
		now := i.cfg.Now()
		if i.draining.Load() {
			h.withdraw(a.ID)
			return pool.Permit{}, nil, draining(notRun)
		}
		if gone(r) {
			h.withdraw(a.ID)
			return pool.Permit{}, nil, caller.NewProblem("caller-gone", statusCallerGone, notRun, "the caller ended the connection")
		}
		left := r.Deadline.Sub(now)
		if left <= 0 {
			h.withdraw(a.ID)
			return pool.Permit{}, nil, caller.NewProblem("deadline-exceeded", http.StatusGatewayTimeout, notRun,
				"the request was still waiting at its deadline").WithRetryAfter(time.Second)
		}
		answer := i.askHome(h, *a, left, previous)
		notRun = r.Key == "" || answer.NotRun
		switch answer.Status {
		case peer.Granted:
			if h.mayStart(i.cfg.Now(), now, answer.Permit.Epoch) {
				return *answer.Permit, nil, nil
			}
			event.PermitStale.Log(&i.log).Str("request", a.ID).Str("server", answer.Permit.Server).Send()
			previous = &pool.Outcome{Ask: a.ID, Result: pool.NotRun, PermitUnused: true}
			i.report(r.Route.Pool, *previous)
			a.ID = i.nextID()
		case peer.InProgress:
			if i.cfg.Now().Sub(began) >= settling {
				return pool.Permit{}, nil, refused(answer, false)
			}
			i.sleep(askRetry)
			a.ID = i.nextID() // The home keeps its decision on the ask.
		case peer.Done:
			x, problem := i.replayed(answer)
			return pool.Permit{}, x, problem
		case peer.Pending:
			answered = i.cfg.Now()
		case peer.NotHome, "":
			if i.cfg.Now().Sub(answered) > homeless {
				h.withdraw(a.ID)
				return pool.Permit{}, nil, caller.NewProblem("home-unreachable", http.StatusServiceUnavailable, notRun,
					"no home of the pool answers this instance").WithRetryAfter(time.Second)
			}
			i.sleep(askRetry)
		default:
			return pool.Permit{}, nil, refused(answer, notRun)
		}
	}
}

// statusCallerGone is the status of a request whose caller has ended the connection; nobody reads it.
const statusCallerGone = 499

// gone reports whether the caller has ended the connection.
func gone(r caller.Request) bool {
	select {
	case <-r.Gone:
		return true
	default:
		return false
	}
}

// askHome polls the home of the pool once; an empty status means that no home answered.
func (i *Instance) askHome(h *home, a pool.Ask, left time.Duration, previous *pool.Outcome) peer.AskAnswer {
	hold := min(askHold, left)
	r := peer.AskRequest{
		Proto: peer.Current(), Region: i.cfg.Region, Pool: h.name, Ask: a,
		LeftMS: left.Milliseconds(), HoldMS: max(1, hold.Milliseconds()), Marks: i.marks.List(),
		Previous: previous,
	}
	addr, self, ok := h.target(i.cfg.Now())
	if self {
		return h.ask(r)
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

// target returns where asks go: to this instance itself, or to the address of the home.
func (h *home) target(now time.Time) (addr string, self, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.serving != 0 || h.tenure.Mode(now) == tenure.Static {
		return "", true, true
	}
	ref, ok := h.tenure.HomeRef()
	return ref.Address, false, ok && ref.Home != h.inst.cfg.Incarnation
}

// mayStart reports whether a permit of the epoch, fetched by a poll that was sent at the given time, may be started.
func (h *home) mayStart(now, sent time.Time, epoch uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tenure.Fence(epoch) && h.tenure.MayStart(now, sent)
}

// refused turns the home's refusal into a problem; notRun tells that nothing has run, under the request's key either.
func refused(a peer.AskAnswer, notRun bool) *caller.Problem {
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
	case peer.NoClaim:
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
