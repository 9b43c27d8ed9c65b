package instance

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/claim"
	"github.com/mustardseam/mustardseam/mustardseam/peer"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
	"github.com/mustardseam/mustardseam/mustardseam/tenure"
)

// notHomeAnswer is the answer to an ask that reached an instance which is not the home of the pool.
var notHomeAnswer = peer.AskAnswer{Proto: peer.CurrentProto(), Status: peer.NotHome}

// ask is the home's record of a request, kept from the first poll of the entry instance until the outcome is reported.
type ask struct {
	request    pool.Ask
	lastPolled time.Time // Time of the last poll, or of the last answer that the decision is pending.
	queued     bool      // The ask has entered the pool's queue; its key, if it has one, was free.
	delivered  bool      // The decision was returned to the entry instance at least once.
	decided    bool      // Field answer is set.
	answer     peer.AskAnswer
	done       chan struct{} // Closed when the ask is decided.
}

// decide sets the answer and wakes the waiting polls; later calls have no effect.
func (a *ask) decide(answer peer.AskAnswer) {
	if a.decided {
		return
	}
	a.decided = true
	a.answer = answer
	close(a.done)
}

// handleAsk queues a request, or rejoins an earlier ask with the same id. It waits for the decision for at most HoldMS.
func (h *home) handleAsk(r peer.AskRequest) peer.AskAnswer {
	now := h.inst.cfg.Now()
	h.inst.marks.Merge(r.Marks)
	h.mu.Lock()
	if h.servingEpoch == 0 {
		h.mu.Unlock()
		return notHomeAnswer
	}
	a := h.asks[r.Ask.ID]
	if a == nil {
		if r.Previous != nil {
			h.recordOutcome(now, *r.Previous, "")
		}
		a = &ask{request: r.Ask, done: make(chan struct{})}
		a.request.Deadline = now.Add(time.Duration(r.LeftMS) * time.Millisecond)
		h.asks[r.Ask.ID] = a
		h.admit(now, a)
	}
	a.lastPolled = now
	h.schedule(now)
	h.mu.Unlock()
	hold := time.NewTimer(time.Duration(r.HoldMS) * time.Millisecond)
	defer hold.Stop()
	select {
	case <-a.done:
	case <-hold.C:
	}
	return h.answerPoll(a)
}

// answerPoll returns the decision, or Pending if there is none yet. It returns a permit only while this instance may
// grant, because the permit's start window is counted from this poll.
func (h *home) answerPoll(a *ask) peer.AskAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.inst.cfg.Now()
	if !a.decided {
		a.lastPolled = now
		return peer.AskAnswer{Proto: peer.CurrentProto(), Status: peer.Pending, NotRun: a.queued}
	}
	if a.answer.Status == peer.Granted && (!h.tenure.MayGrant(now) || a.answer.Permit.Epoch != h.servingEpoch) {
		return notHomeAnswer
	}
	a.delivered = true
	return a.answer
}

// admit claims the key of an ask, if it has one, and puts the ask into the pool's queue; it must be called with mu
// held.
func (h *home) admit(now time.Time, a *ask) {
	if a.request.Key == "" {
		a.queued = true
		h.pool.Ask(now, a.request)
		return
	}
	authority := h.claimAuthority(now)
	if h.journal == nil && authority == claim.ByStaticShare {
		a.decide(h.claimAnswer(claim.Decision{Result: claim.Unavailable}))
		return
	}
	if h.journal == nil {
		return // The journal is still loading; expireAsks tries again.
	}
	d := h.journal.Claim(now, claim.Key(a.request.Team, a.request.Route, a.request.Key), a.request.ID, a.request.EntryInstance, authority)
	switch d.Result {
	case claim.Proceed:
		a.queued = true
		h.pool.Ask(now, a.request)
	case claim.Wait:
	default:
		a.decide(h.claimAnswer(d))
	}
}

// claimAuthority returns the authority under which this instance claims keys; it must be called with mu held.
func (h *home) claimAuthority(now time.Time) claim.Authority {
	switch h.tenure.Mode(now) {
	case tenure.Home, tenure.Waiting:
		return claim.ByStore
	case tenure.Consent:
		if h.tenure.ConfirmedWithoutLapse(now) {
			return claim.ByConsent
		}
	}
	return claim.ByStaticShare
}

// claimAnswer converts the result of a claim to the answer to an ask.
func (h *home) claimAnswer(d claim.Decision) peer.AskAnswer {
	answer := peer.AskAnswer{Proto: peer.CurrentProto(), HTTPStatus: d.Status, AnswerAddress: d.AnswerAddress, Request: d.Request, NotRun: d.NotRun}
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
		answer.Status = peer.ClaimUnavailable
	}
	return answer
}

// queueCommitted queues the asks whose claims have been written to the store; it must be called with mu held.
func (h *home) queueCommitted(now time.Time, ids []string) {
	for _, id := range ids {
		a := h.asks[id]
		if a == nil || a.decided {
			h.journal.MarkNotRun(now, id)
			continue
		}
		if !a.queued {
			a.queued = true
			h.pool.Ask(now, a.request)
		}
	}
}

// schedule runs the pool's scheduler and records its grants and refusals; it must be called with mu held.
func (h *home) schedule(now time.Time) {
	if h.servingEpoch == 0 || !h.tenure.MayGrant(now) {
		return
	}
	h.pool.SetInstances(h.tenure.ShareDivisor(now))
	d := h.pool.Decide(now)
	for _, p := range d.Permits {
		h.grant(now, p)
	}
	for _, r := range d.Refusals {
		a := h.asks[r.AskID]
		if a == nil {
			continue
		}
		if a.request.Key != "" && h.journal != nil {
			h.journal.MarkNotRun(now, r.AskID)
		}
		a.decide(peer.AskAnswer{Proto: peer.CurrentProto(), Status: peer.Refused, Refusal: &r, NotRun: a.queued})
		if r.Reason == pool.QueueFull {
			h.shedUnclaimed(now, a.request.Tier, r)
		}
	}
}

// shedUnclaimed refuses the asks of lower tiers whose keys are not claimed yet, after the pool has shed an ask of the
// given tier. These asks wait outside the pool's queue, so the pool cannot shed them first. It must be called with mu
// held.
func (h *home) shedUnclaimed(now time.Time, tier int, r pool.Refusal) {
	for id, a := range h.asks {
		if a.queued || a.decided || a.request.Tier <= tier {
			continue
		}
		if h.journal != nil {
			h.journal.MarkNotRun(now, id)
		}
		refusal := pool.Refusal{AskID: id, Reason: r.Reason, RetryAfter: r.RetryAfter}
		a.decide(peer.AskAnswer{Proto: peer.CurrentProto(), Status: peer.Refused, Refusal: &refusal})
	}
}

// grant answers an ask with a permit, or returns the permit to the pool if the ask is gone or its claim cannot start;
// it must be called with mu held.
func (h *home) grant(now time.Time, p pool.Permit) {
	a := h.asks[p.AskID]
	if a == nil || a.decided {
		h.pool.Done(now, pool.Outcome{AskID: p.AskID, Result: pool.NotRun, PermitUnused: true})
		return
	}
	if a.request.Key != "" && (h.journal == nil || !h.journal.Start(now, p.AskID)) {
		h.pool.Done(now, pool.Outcome{AskID: p.AskID, Result: pool.NotRun, PermitUnused: true})
		a.decide(h.claimAnswer(claim.Decision{Result: claim.Unavailable}))
		return
	}
	load := min(rollout.LoadBuckets-1, int(h.pool.Load(p.Server)*rollout.LoadBuckets))
	h.startedRequests[p.AskID] = startedRequest{a.request, p, load, h.pool.Cold(p.Server)}
	a.decide(peer.AskAnswer{Proto: peer.CurrentProto(), Status: peer.Granted, Permit: &p, Epoch: p.Epoch})
}
