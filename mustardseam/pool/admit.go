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

// optimism is the part of the estimated duration for which a request must have time left: estimates are means, and
// a request must not be refused because it might be a long one.
const optimism = 0.7

// Ask puts a request into the queue or refuses it with the next decisions; an ask with the id of a waiting or running
// one has no effect.
func (p *Pool) Ask(now time.Time, a Ask) {
	p.advance(now)
	if p.requests[a.ID] != nil || p.refused[a.ID] {
		return
	}
	rt := p.routes[a.Route]
	if rt == nil {
		p.refuse(a.ID, UnknownRoute, 0)
		return
	}
	if a.Attempt <= 0 {
		p.budget.First(a.Route, a.Team)
	} else if !p.budget.Allow(a.Route, a.Team) {
		p.refuse(a.ID, NoRetries, 0)
		return
	}
	if !p.servable(rt) {
		p.refuse(a.ID, NoServer, 0)
		return
	}
	r := p.request(now, rt, a)
	if p.refuseEarly(now, rt, r) {
		return
	}
	p.admit(now, r)
}

func (p *Pool) request(now time.Time, rt *route, a Ask) *request {
	r := &request{Ask: a, arrived: now, place: -1}
	r.Tier = max(0, a.Tier)
	r.estimate = cost.Tokens{Decode: 1}
	if !p.services() {
		r.estimate = p.costs.Estimate(a.Route, a.Team, a.Prompt, a.MaxOutput)
	}
	if !a.Deadline.IsZero() {
		r.latest = a.Deadline.Add(-p.minDuration(rt, r.estimate))
	}
	r.item = fair.Item{
		ID: a.ID, Team: a.Team, Group: a.Group, Tier: r.Tier, Lane: a.Route, Cost: r.estimate.Sum(),
	}
	return r
}

// minDuration returns the time that the request takes at least, by what is known of the route's version.
func (p *Pool) minDuration(rt *route, t cost.Tokens) time.Duration {
	best := time.Duration(0)
	for k, c := range p.classes {
		if !c.Known() || k.version != rt.Version && (rt.split == nil || k.version != rt.split.to) {
			continue
		}
		if d := c.Service(t.Prefill, t.Decode); best == 0 || d < best {
			best = d
		}
	}
	return time.Duration(optimism * float64(best))
}

// refuseEarly refuses a request that cannot finish by its deadline. A request of a tier above another waiting one is
// not refused because of the queue: the lower tier has to give way first.
func (p *Pool) refuseEarly(now time.Time, rt *route, r *request) bool {
	if r.late(now) {
		p.refuse(r.ID, TooLate, 0)
		return true
	}
	if r.latest.IsZero() || p.open(rt) {
		return false
	}
	if lowest, ok := p.queue.Lowest(); ok && r.Tier < lowest {
		return false
	}
	wait, known := p.wait(now, r.Tier, r.Team)
	if !known || !r.misses(now, wait) {
		return false
	}
	p.refuse(r.ID, TooLate, retryAfter(wait))
	return true
}

// admit puts the request into the queue; it, or requests of lower tiers, are refused when the queue is full.
func (p *Pool) admit(now time.Time, r *request) {
	shed, ok := p.queue.Admit(&r.item)
	if !ok {
		p.refuse(r.ID, QueueFull, p.roomAfter(now, r))
		return
	}
	for _, it := range shed {
		victim := p.requests[it.ID]
		p.forget(victim)
		p.refuse(victim.ID, QueueFull, p.roomAfter(now, victim))
	}
	p.requests[r.ID] = r
	if !r.latest.IsZero() {
		heap.Push(&p.latest, r)
	}
	p.forecast.ask(now, r.Tier, r.item.Cost)
}

// roomAfter estimates when a refused request may find room: 0 when unknown.
func (p *Pool) roomAfter(now time.Time, r *request) time.Duration {
	wait, known := p.wait(now, r.Tier, r.Team)
	if !known {
		return 0
	}
	return retryAfter(time.Duration(math.Ceil(wait.Seconds()/2)) * time.Second)
}

// forget drops a waiting request that is no longer in the queue.
func (p *Pool) forget(r *request) {
	delete(p.requests, r.ID)
	p.unwatch(r)
}

func (p *Pool) unwatch(r *request) {
	if r.place >= 0 {
		heap.Remove(&p.latest, r.place)
	}
}

func (p *Pool) refuse(id string, reason Reason, after time.Duration) {
	p.refused[id] = true
	p.refusals = append(p.refusals, Refusal{Ask: id, Reason: reason, RetryAfter: after})
}

// refuseUnservable refuses waiting requests whose route has gone or has no server in service any more.
func (p *Pool) refuseUnservable() {
	if p.queue.Len() == 0 {
		return
	}
	for _, r := range p.sorted() {
		if r.server != nil {
			continue
		}
		rt := p.routes[r.Route]
		if rt != nil && p.servable(rt) {
			continue
		}
		reason := NoServer
		if rt == nil {
			reason = UnknownRoute
		}
		p.queue.Remove(&r.item)
		p.forget(r)
		p.refuse(r.ID, reason, 0)
	}
}

// sorted returns all requests in an order that does not depend on the order of a map.
func (p *Pool) sorted() []*request {
	return slices.SortedFunc(maps.Values(p.requests), func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
}

// Withdraw takes a waiting request out of the queue and reports whether it was there.
func (p *Pool) Withdraw(now time.Time, id string) bool {
	p.advance(now)
	r := p.requests[id]
	if r == nil || r.server != nil {
		return false
	}
	p.queue.Remove(&r.item)
	p.forget(r)
	return true
}
