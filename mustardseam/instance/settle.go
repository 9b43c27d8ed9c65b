package instance

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/peer"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// sweep drops asks whose entry instance no longer polls, and settles what failed instances left; it must be called
// with mu held.
func (h *home) sweep(now time.Time) {
	if h.serving == 0 {
		return
	}
	for id, a := range h.asks {
		if !a.committed && !a.decided {
			h.admit(now, a) // A claim that waited for the journal, or that the journal could not take.
		}
		if now.Sub(a.polled) < askLapse {
			continue
		}
		if a.answer.Status == peer.Granted && a.delivered {
			delete(h.asks, id) // The outcome, or the failure of the entry instance, settles it.
			continue
		}
		h.drop(now, id)
	}
	if now.Sub(h.checked) >= beatInterval {
		h.checked = now
		h.settleFailed(now)
	}
}

// drop forgets an ask that certainly was not started; it must be called with mu held.
func (h *home) drop(now time.Time, id string) {
	a := h.asks[id]
	delete(h.asks, id)
	delete(h.started, id)
	if !h.pool.Withdraw(now, id) {
		h.pool.Done(now, pool.Outcome{Ask: id, Result: pool.NotRun, PermitUnused: true})
	}
	if a != nil && a.ask.Key != "" && h.journal != nil && (!a.decided || a.answer.Status == peer.Granted) {
		h.journal.NotRun(now, id)
	}
}

// settleFailed hands the running requests of failed entry instances to the load reports, and their claims to the
// journal as unknown; it must be called with mu held.
func (h *home) settleFailed(now time.Time) {
	gone := map[string]bool{}
	for _, r := range h.started {
		gone[r.ask.EntryInstance] = false
	}
	if h.journal != nil {
		for _, from := range h.journal.Owners() {
			gone[from] = false
		}
	}
	for from := range gone {
		if !h.inst.failed(now, from) {
			continue
		}
		h.pool.Orphan(now, from)
		if h.journal != nil {
			h.journal.Abandon(now, from)
		}
		for id, r := range h.started {
			if r.ask.EntryInstance == from {
				delete(h.started, id)
			}
		}
	}
}

// done takes in outcomes and withdrawals; it reports whether this instance is the home.
func (h *home) done(r peer.DoneRequest) bool {
	now := h.inst.cfg.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.serving == 0 {
		return false
	}
	for _, o := range r.Outcomes {
		h.outcome(now, o, r.Address)
	}
	for _, id := range r.Withdraw {
		h.drop(now, id)
	}
	h.decide(now)
	return true
}

// outcome accounts for the end of a granted request; it must be called with mu held.
func (h *home) outcome(now time.Time, o pool.Outcome, holder string) {
	h.pool.Done(now, o)
	if run, ok := h.started[o.Ask]; ok {
		h.judge(now, run, o)
	}
	delete(h.asks, o.Ask)
	delete(h.started, o.Ask)
	if h.journal == nil {
		return
	}
	switch o.Result {
	case pool.NotRun:
		h.journal.NotRun(now, o.Ask)
	case pool.Unknown:
		h.journal.Doubt(now, o.Ask)
	default:
		h.journal.Finish(now, o.Ask, status(o), holder)
	}
}

// status returns the HTTP status that a retry of a finished request is told.
func status(o pool.Outcome) int {
	switch o.Result {
	case pool.Cancelled:
		return statusCallerGone
	case pool.Incomplete:
		return 502
	default:
		return o.Status
	}
}
