package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/routing"
)

const (
	// maxRepick bounds the servers that turn out to be full when they are picked, because what was learned of their
	// class has changed since their last update.
	maxRepick = 8
	// overdue is the time after which a probe is made with any request.
	overdue = 5 * time.Second
)

// Decide returns the permits and refusals that are due.
func (p *Pool) Decide(now time.Time) Decisions {
	p.advance(now)
	p.round++
	p.endOrphans(now)
	var d Decisions
	for {
		it := p.queue.Pop(p.closed)
		if it == nil {
			break
		}
		r := p.requests[it.ID]
		if r.late(now) {
			p.queue.Correct(it.Tier, it.Team, it.Group, -it.Cost)
			p.forget(r)
			p.refuse(r.ID, TooLate, 0)
			continue
		}
		if !p.place(now, r) {
			p.queue.Return(it)
			p.routes[r.Route].failed = p.round
			continue
		}
		d.Permits = append(d.Permits, p.permit(r))
	}
	p.refuseLate(now)
	p.sweep(now)
	p.noteBusy(now)
	d.Refusals = p.refusals
	p.refusals = nil
	clear(p.refused)
	return d
}

// noteBusy keeps the time since when the queue has not been empty.
func (p *Pool) noteBusy(now time.Time) {
	switch {
	case p.queue.Len() == 0:
		p.busy = time.Time{}
	case p.busy.IsZero():
		p.busy = now
	}
}

// refuseLate refuses the requests that cannot finish in time any more. They were not granted, so there is no room.
func (p *Pool) refuseLate(now time.Time) {
	for len(p.latest) > 0 && !now.Before(p.latest[0].latest) {
		r := p.latest[0]
		p.queue.Remove(&r.item)
		p.forget(r)
		p.refuse(r.ID, TooLate, p.roomAfter(now, r))
	}
}

func (p *Pool) permit(r *request) Permit {
	s := r.server
	return Permit{Ask: r.ID, Server: s.Name, Address: s.Address, Version: r.version, Epoch: p.epoch}
}

// place grants the request to a server if one has room.
func (p *Pool) place(now time.Time, r *request) bool {
	rt := p.routes[r.Route]
	for _, v := range p.versions(rt, r.Attempt > 0) {
		if v == "" {
			continue
		}
		if s := p.probe(now, r, v); s != nil {
			p.grant(now, rt, r, s, 0)
			return true
		}
		if s, cached := p.pick(now, r, v); s != nil {
			p.grant(now, rt, r, s, cached)
			return true
		}
	}
	return false
}

// pick returns the best server of the version with room, and the prompt tokens that it probably has cached.
func (p *Pool) pick(now time.Time, r *request, version string) (*server, int) {
	for range maxRepick {
		n, cached := p.picker.Pick(now, routing.Request{
			Version: version, DataCentre: r.DataCentre, Prompt: r.Prompt, Prefix: r.Prefix, Avoid: r.Avoid,
		})
		if n == nil {
			return nil, 0
		}
		s := p.servers[n.Name]
		p.refresh(s)
		if n.Room > 0 {
			return s, cached
		}
	}
	return nil, 0
}

// probe returns a server in probation that is due for a probe with this request. Requests of the highest tier, retries
// and those that must not run twice are probes only when every server is in probation or the probe is overdue.
func (p *Pool) probe(now time.Time, r *request, version string) *server {
	f := p.fleets[version]
	if f == nil || !f.due(now) {
		return nil
	}
	costly := r.Tier == 0 || r.Attempt > 0 || r.NonIdempotent
	if costly && f.inService > len(f.probation) && now.Sub(f.nextProbe) < overdue {
		return nil
	}
	for _, s := range f.probation {
		if s.room > 0 && !now.Before(s.cap.NextProbe()) {
			return s
		}
	}
	return nil
}

func (p *Pool) grant(now time.Time, rt *route, r *request, s *server, cached int) {
	p.unwatch(r)
	r.server, r.version, r.granted, r.cached = s, s.Version, now, cached
	r.ahead = int(s.node.Pending(now))
	s.cap.Dispatched(now)
	p.picker.Dispatched(now, s.node, r.Prompt, cached, r.Prefix)
	p.refresh(s)
	if rt.split != nil {
		rt.split.count(r.version)
	}
	p.forecast.served.add(now, r.item.Cost)
}

// Next returns when Decide should be called at the latest if nothing else happens; zero when there is no need.
func (p *Pool) Next() time.Time {
	if len(p.refusals) > 0 {
		return p.now
	}
	var next time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, r := range p.orphans {
		earlier(r.ends())
	}
	if p.queue.Len() == 0 {
		return next
	}
	if len(p.latest) > 0 {
		earlier(p.latest[0].latest)
	}
	for _, f := range p.fleets {
		earlier(f.after(p.now))
	}
	return next
}
