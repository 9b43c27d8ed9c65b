package instance

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/claim"
	"github.com/mustardseam/mustardseam/mustardseam/peer"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
	"github.com/mustardseam/mustardseam/mustardseam/tenure"
)

// notHome answers an ask that reached an instance which is not the home of the pool.
var notHome = peer.AskAnswer{Proto: peer.Current(), Status: peer.NotHome}

// ask is a request at its home, from its first poll until its outcome.
type ask struct {
	ask       pool.Ask
	polled    time.Time
	committed bool // It is in the queue, or was; its key, if it has one, was free.
	delivered bool // The decision went out at least once.
	decided   bool
	answer    peer.AskAnswer
	done      chan struct{} // Closed with the decision.
}

// settle fixes the answer; later calls have no effect.
func (a *ask) settle(answer peer.AskAnswer) {
	if a.decided {
		return
	}
	a.decided = true
	a.answer = answer
	close(a.done)
}

// ask queues a request, or waits on for the decision on an earlier ask of the same id.
func (h *home) ask(r peer.AskRequest) peer.AskAnswer {
	now := h.inst.cfg.Now()
	h.inst.marks.Merge(r.Marks)
	h.mu.Lock()
	if h.serving == 0 {
		h.mu.Unlock()
		return notHome
	}
	a := h.asks[r.Ask.ID]
	if a == nil {
		if r.Previous != nil {
			h.outcome(now, *r.Previous, "")
		}
		a = &ask{ask: r.Ask, done: make(chan struct{})}
		a.ask.Deadline = now.Add(time.Duration(r.LeftMS) * time.Millisecond)
		h.asks[r.Ask.ID] = a
		h.admit(now, a)
	}
	a.polled = now
	h.decide(now)
	h.mu.Unlock()
	hold := time.NewTimer(time.Duration(r.HoldMS) * time.Millisecond)
	defer hold.Stop()
	select {
	case <-a.done:
	case <-hold.C:
	}
	return h.deliver(a)
}

// deliver returns the decision, or that it is pending. A permit is only handed out while the right to grant holds,
// because its start window is counted from this poll.
func (h *home) deliver(a *ask) peer.AskAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.inst.cfg.Now()
	if !a.decided {
		a.polled = now
		return peer.AskAnswer{Proto: peer.Current(), Status: peer.Pending, NotRun: a.committed}
	}
	if a.answer.Status == peer.Granted && (!h.tenure.MayGrant(now) || a.answer.Permit.Epoch != h.serving) {
		return notHome
	}
	a.delivered = true
	return a.answer
}

// admit claims the key of an ask, if it has one, and queues it; it must be called with mu held.
func (h *home) admit(now time.Time, a *ask) {
	if a.ask.Key == "" {
		a.committed = true
		h.pool.Ask(now, a.ask)
		return
	}
	standing := h.standing(now)
	if h.journal == nil && standing == claim.ByShare {
		a.settle(h.claimAnswer(claim.Decision{Result: claim.Unavailable}))
		return
	}
	if h.journal == nil {
		return // The journal is being read; the next tick claims.
	}
	d := h.journal.Claim(now, claim.Key(a.ask.Team, a.ask.Route, a.ask.Key), a.ask.ID, a.ask.EntryInstance, standing)
	switch d.Result {
	case claim.Proceed:
		a.committed = true
		h.pool.Ask(now, a.ask)
	case claim.Wait:
	default:
		a.settle(h.claimAnswer(d))
	}
}

// standing says by what right this instance claims keys; it must be called with mu held.
func (h *home) standing(now time.Time) claim.Standing {
	switch h.tenure.Mode(now) {
	case tenure.Home, tenure.Waiting:
		return claim.ByStore
	case tenure.Consent:
		if h.tenure.Unbroken(now) {
			return claim.ByConsent
		}
	}
	return claim.ByShare
}

// claimAnswer turns the decision on a claim into an answer.
func (h *home) claimAnswer(d claim.Decision) peer.AskAnswer {
	answer := peer.AskAnswer{Proto: peer.Current(), Code: d.Status, Holder: d.Holder, Request: d.Request, NotRun: d.NotRun}
	switch d.Result {
	case claim.InProgress:
		answer.Status = peer.InProgress
	case claim.Done:
		answer.Status = peer.Done
	case claim.Expired:
		answer.Status = peer.Expired
	case claim.Unknown:
		answer.Status = peer.Unknown
	default:
		answer.Status = peer.NoClaim
	}
	return answer
}

// commit queues the asks whose claims are in the store; it must be called with mu held.
func (h *home) commit(now time.Time, ids []string) {
	for _, id := range ids {
		a := h.asks[id]
		if a == nil || a.decided {
			h.journal.NotRun(now, id)
			continue
		}
		if !a.committed {
			a.committed = true
			h.pool.Ask(now, a.ask)
		}
	}
}

// decide delivers the decisions that are due; it must be called with mu held.
func (h *home) decide(now time.Time) {
	if h.serving == 0 || !h.tenure.MayGrant(now) {
		return
	}
	h.pool.SetInstances(h.tenure.Share(now))
	d := h.pool.Decide(now)
	for _, p := range d.Permits {
		h.grant(now, p)
	}
	for _, r := range d.Refusals {
		a := h.asks[r.Ask]
		if a == nil {
			continue
		}
		if a.ask.Key != "" && h.journal != nil {
			h.journal.NotRun(now, r.Ask)
		}
		a.settle(peer.AskAnswer{Proto: peer.Current(), Status: peer.Refused, Refusal: &r, NotRun: a.committed})
		if r.Reason == pool.QueueFull {
			h.shedUnclaimed(now, a.ask.Tier, r)
		}
	}
}

// shedUnclaimed refuses the asks of lower tiers whose keys are not claimed yet, when one of the given tier is shed. They
// wait beside the queue, so the pool does not see that they come before it. It must be called with mu held.
func (h *home) shedUnclaimed(now time.Time, tier int, r pool.Refusal) {
	for id, a := range h.asks {
		if a.committed || a.decided || a.ask.Tier <= tier {
			continue
		}
		if h.journal != nil {
			h.journal.NotRun(now, id)
		}
		refusal := pool.Refusal{Ask: id, Reason: r.Reason, RetryAfter: r.RetryAfter}
		a.settle(peer.AskAnswer{Proto: peer.Current(), Status: peer.Refused, Refusal: &refusal})
	}
}

// grant hands out a permit; it must be called with mu held.
func (h *home) grant(now time.Time, p pool.Permit) {
	a := h.asks[p.Ask]
	if a == nil || a.decided {
		h.pool.Done(now, pool.Outcome{Ask: p.Ask, Result: pool.NotRun, PermitUnused: true})
		return
	}
	if a.ask.Key != "" && (h.journal == nil || !h.journal.Start(now, p.Ask)) {
		h.pool.Done(now, pool.Outcome{Ask: p.Ask, Result: pool.NotRun, PermitUnused: true})
		a.settle(h.claimAnswer(claim.Decision{Result: claim.Unavailable}))
		return
	}
	load := min(rollout.LoadBuckets-1, int(h.pool.Load(p.Server)*rollout.LoadBuckets))
	h.started[p.Ask] = running{a.ask, p, load, h.pool.Cold(p.Server)}
	a.settle(peer.AskAnswer{Proto: peer.Current(), Status: peer.Granted, Permit: &p, Epoch: p.Epoch})
}
