package pool

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/cost"
	"github.com/mustardseam/mustardseam/mustardseam/fair"
)

// requiredDurationShare is the part of the estimated minimum duration for which a request must have time left. It is
// below 1 because the estimates are means, and a request must not be refused because it might be a long one.
const requiredDurationShare = 0.7

// Ask queues a request, or refuses it with the next decisions. It has no effect if a request with the same ID is
// waiting or running, or was refused since the last Decide.
func (p *Pool) Ask(now time.Time, a Ask) {
	p.advanceClock(now)
	if p.requests[a.ID] != nil || p.refusedIDs[a.ID] {
		return
	}
	rt := p.routes[a.Route]
	if rt == nil {
		p.refuse(a.ID, UnknownRoute, 0)
		return
	}
	if a.Attempt <= 0 {
		p.retryBudget.First(a.Route, a.Team)
	} else if !p.retryBudget.Allow(a.Route, a.Team) {
		p.refuse(a.ID, RetryBudgetExhausted, 0)
		return
	}
	if !p.hasServerInService(rt) {
		p.refuse(a.ID, NoBackendServer, 0)
		return
	}
	r := p.newRequest(now, rt, a)
	if p.refuseEarly(now, rt, r) {
		return
	}
	p.enqueue(now, r)
}

// newRequest returns the request for an ask that arrived now, with its cost estimate and its latest useful start.
func (p *Pool) newRequest(now time.Time, rt *route, a Ask) *request {
	r := &request{Ask: a, arrived: now, heapIndex: -1}
	r.Tier = max(0, a.Tier)
	r.estimate = cost.Tokens{Decode: 1}
	if !p.isServicePool() {
		r.estimate = p.costs.Estimate(a.Route, a.Team, a.PromptTokens, a.MaxOutputTokens)
	}
	if !a.Deadline.IsZero() {
		r.latestStart = a.Deadline.Add(-p.minDuration(rt, r.estimate))
	}
	r.item = fair.Item{
		ID: a.ID, Team: a.Team, Group: a.Group, Tier: r.Tier, Lane: a.Route, Cost: r.estimate.Sum(),
	}
	return r
}

// minDuration returns the lower bound on the duration of a request of the given cost, from the learned speeds of the
// versions that the route uses. It is 0 while no speed is known.
func (p *Pool) minDuration(rt *route, t cost.Tokens) time.Duration {
	best := time.Duration(0)
	for k, c := range p.classes {
		if !c.SpeedsKnown() || k.version != rt.Version && (rt.split == nil || k.version != rt.split.target) {
			continue
		}
		if d := c.ServiceTime(t.Prefill, t.Decode); best == 0 || d < best {
			best = d
		}
	}
	return time.Duration(requiredDurationShare * float64(best))
}

// refuseEarly refuses a request that cannot finish by its deadline and reports whether it did. Queue length is no
// reason to refuse a request while a lower tier waits, because the lower tier is shed first.
func (p *Pool) refuseEarly(now time.Time, rt *route, r *request) bool {
	if r.expired(now) {
		p.refuse(r.ID, DeadlineUnmeetable, 0)
		return true
	}
	if r.latestStart.IsZero() || p.hasRoomOrProbe(rt) {
		return false
	}
	if lowest, ok := p.queue.LowestTier(); ok && r.Tier < lowest {
		return false
	}
	wait, known := p.estimateWait(now, r.Tier, r.Team)
	if !known || !r.missesDeadline(now, wait) {
		return false
	}
	p.refuse(r.ID, DeadlineUnmeetable, roundRetryAfter(wait))
	return true
}

// enqueue adds the request to the queue. When the queue is full, it refuses waiting requests of lower tiers, or this
// request if there are none.
func (p *Pool) enqueue(now time.Time, r *request) {
	shed, ok := p.queue.Admit(&r.item)
	if !ok {
		p.refuse(r.ID, QueueFull, p.estimateRetryAfter(now, r))
		return
	}
	for _, it := range shed {
		victim := p.requests[it.ID]
		p.dropWaiting(victim)
		p.refuse(victim.ID, QueueFull, p.estimateRetryAfter(now, victim))
	}
	p.requests[r.ID] = r
	if !r.latestStart.IsZero() {
		heap.Push(&p.latestStarts, r)
	}
	p.forecast.recordAsk(now, r.Tier, r.item.Cost)
}

// estimateRetryAfter returns the suggested delay of a retry of the refused request: half the estimated wait, rounded up
// to whole seconds, or 0 if the wait is unknown.
func (p *Pool) estimateRetryAfter(now time.Time, r *request) time.Duration {
	wait, known := p.estimateWait(now, r.Tier, r.Team)
	if !known {
		return 0
	}
	return roundRetryAfter(time.Duration(math.Ceil(wait.Seconds()/2)) * time.Second)
}

// dropWaiting deletes the state of a waiting request that has been removed from the queue.
func (p *Pool) dropWaiting(r *request) {
	delete(p.requests, r.ID)
	p.removeLatestStart(r)
}

// removeLatestStart removes the request from the heap of latest starts, if it is there.
func (p *Pool) removeLatestStart(r *request) {
	if r.heapIndex >= 0 {
		heap.Remove(&p.latestStarts, r.heapIndex)
	}
}

// refuse adds a refusal to the next decisions.
func (p *Pool) refuse(id string, reason Reason, after time.Duration) {
	p.refusedIDs[id] = true
	p.refusals = append(p.refusals, Refusal{AskID: id, Reason: reason, RetryAfter: after})
}

// refuseUnservable refuses the waiting requests whose route was deleted or has no server left in service.
func (p *Pool) refuseUnservable() {
	if p.queue.Len() == 0 {
		return
	}
	for _, r := range p.requestsByID() {
		if r.server != nil {
			continue
		}
		rt := p.routes[r.Route]
		if rt != nil && p.hasServerInService(rt) {
			continue
		}
		reason := NoBackendServer
		if rt == nil {
			reason = UnknownRoute
		}
		p.queue.Remove(&r.item)
		p.dropWaiting(r)
		p.refuse(r.ID, reason, 0)
	}
}

// requestsByID returns all requests sorted by ID, so that results do not depend on map order.
func (p *Pool) requestsByID() []*request {
	return slices.SortedFunc(maps.Values(p.requests), func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
}

// Withdraw removes a waiting request from the queue and reports whether it was waiting.
func (p *Pool) Withdraw(now time.Time, id string) bool {
	p.advanceClock(now)
	r := p.requests[id]
	if r == nil || r.server != nil {
		return false
	}
	p.queue.Remove(&r.item)
	p.dropWaiting(r)
	return true
}
