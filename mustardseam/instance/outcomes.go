package instance

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/peer"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// expireAsks admits asks that wait for their claim, drops asks whose entry instance no longer polls, and releases the
// requests of failed instances; it must be called with mu held.
func (h *home) expireAsks(now time.Time) {
	if h.servingEpoch == 0 {
		return
	}
	for id, a := range h.asks {
		if !a.queued && !a.decided {
			h.admit(now, a) // The journal was not loaded yet or could not take the claim.
		}
		if now.Sub(a.lastPolled) < askExpiry {
			continue
		}
		if a.answer.Status == peer.Granted && a.delivered {
			delete(h.asks, id) // Its outcome or the failure of its entry instance ends it.
			continue
		}
		h.dropAsk(now, id)
	}
	if now.Sub(h.lastFailureCheck) >= heartbeatInterval {
		h.lastFailureCheck = now
		h.releaseFailedInstances(now)
	}
}

// dropAsk removes an ask that certainly was not started; it must be called with mu held.
func (h *home) dropAsk(now time.Time, id string) {
	a := h.asks[id]
	delete(h.asks, id)
	delete(h.startedRequests, id)
	if !h.pool.Withdraw(now, id) {
		h.pool.Done(now, pool.Outcome{AskID: id, Result: pool.NotRun, PermitUnused: true})
	}
	if a != nil && a.request.Key != "" && h.journal != nil && (!a.decided || a.answer.Status == peer.Granted) {
		h.journal.MarkNotRun(now, id)
	}
}

// releaseFailedInstances orphans the running requests of failed entry instances, whose occupancy then follows the load
// reports, and marks their claims in the journal as unknown; it must be called with mu held.
func (h *home) releaseFailedInstances(now time.Time) {
	failed := map[string]bool{}
	for _, r := range h.startedRequests {
		failed[r.ask.EntryInstance] = false
	}
	if h.journal != nil {
		for _, from := range h.journal.Owners() {
			failed[from] = false
		}
	}
	for from := range failed {
		if !h.inst.isFailed(now, from) {
			continue
		}
		h.pool.Orphan(now, from)
		if h.journal != nil {
			h.journal.SettleFailedOwner(now, from)
		}
		for id, r := range h.startedRequests {
			if r.ask.EntryInstance == from {
				delete(h.startedRequests, id)
			}
		}
	}
}

// handleOutcomes processes outcomes and withdrawals from an entry instance and reports whether this instance is the
// home.
func (h *home) handleOutcomes(r peer.OutcomesRequest) bool {
	now := h.inst.cfg.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.servingEpoch == 0 {
		return false
	}
	for _, o := range r.Outcomes {
		h.recordOutcome(now, o, r.Address)
	}
	for _, id := range r.Withdraw {
		h.dropAsk(now, id)
	}
	h.schedule(now)
	return true
}

// recordOutcome passes the outcome of a granted request to the pool, the rollout and the journal. The address
// answerAddress is that of the instance which stores the answer. It must be called with mu held.
func (h *home) recordOutcome(now time.Time, o pool.Outcome, answerAddress string) {
	h.pool.Done(now, o)
	if run, ok := h.startedRequests[o.AskID]; ok {
		h.observeOutcome(now, run, o)
	}
	delete(h.asks, o.AskID)
	delete(h.startedRequests, o.AskID)
	if h.journal == nil {
		return
	}
	switch o.Result {
	case pool.NotRun:
		h.journal.MarkNotRun(now, o.AskID)
	case pool.Unknown:
		h.journal.MarkUnknown(now, o.AskID)
	default:
		h.journal.MarkDone(now, o.AskID, replayStatus(o), answerAddress)
	}
}

// replayStatus returns the HTTP status reported to a retry of a finished request.
func replayStatus(o pool.Outcome) int {
	switch o.Result {
	case pool.Cancelled:
		return statusCallerGone
	case pool.Incomplete:
		return 502
	default:
		return o.Status
	}
}
