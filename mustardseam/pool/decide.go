package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/routing"
)

const (
	// maxPickAttempts limits the picks for one request. A picked server can turn out to be full because its class has
	// learned a lower limit since the server was last refreshed.
	maxPickAttempts = 8
	// probeOverdueAfter is the delay of a due probe after which it is overdue and any request may be used for it.
	probeOverdueAfter = 5 * time.Second
)

// Decide returns the permits and refusals that are due.
func (p *Pool) Decide(now time.Time) Decisions {
	p.advanceClock(now)
	p.decideRound++
	p.expireOrphans(now)
	var d Decisions
	for {
		it := p.queue.Pop(p.skipLane)
		if it == nil {
			break
		}
		r := p.requests[it.ID]
		if r.expired(now) {
			p.queue.CorrectCost(it.Tier, it.Team, it.Group, -it.Cost)
			p.dropWaiting(r)
			p.refuse(r.ID, DeadlineUnmeetable, 0)
			continue
		}
		if !p.tryGrant(now, r) {
			p.queue.Requeue(it)
			p.routes[r.Route].noRoomRound = p.decideRound
			continue
		}
		d.Permits = append(d.Permits, p.permitFor(r))
	}
	p.refuseTooLate(now)
	p.sweepQueue(now)
	p.updateQueueNonEmptySince(now)
	d.Refusals = p.refusals
	p.refusals = nil
	clear(p.refusedIDs)
	return d
}

// updateQueueNonEmptySince records since when the queue has not been empty.
func (p *Pool) updateQueueNonEmptySince(now time.Time) {
	switch {
	case p.queue.Len() == 0:
		p.queueNonEmptySince = time.Time{}
	case p.queueNonEmptySince.IsZero():
		p.queueNonEmptySince = now
	}
}

// refuseTooLate refuses the waiting requests that can no longer meet their deadline, because their latest useful start
// has passed. It runs after the queue was served, so no server had room for them.
func (p *Pool) refuseTooLate(now time.Time) {
	for len(p.latestStarts) > 0 && !now.Before(p.latestStarts[0].latestStart) {
		r := p.latestStarts[0]
		p.queue.Remove(&r.item)
		p.dropWaiting(r)
		p.refuse(r.ID, DeadlineUnmeetable, p.estimateRetryAfter(now, r))
	}
}

// permitFor returns the permit of a granted request.
func (p *Pool) permitFor(r *request) Permit {
	s := r.server
	return Permit{AskID: r.ID, Server: s.Name, Address: s.Address, Version: r.version, Epoch: p.epoch}
}

// tryGrant grants the request to a server with room and reports whether there was one.
func (p *Pool) tryGrant(now time.Time, r *request) bool {
	rt := p.routes[r.Route]
	for _, v := range p.candidateVersions(rt, r.Attempt > 0) {
		if v == "" {
			continue
		}
		if s := p.serverToProbe(now, r, v); s != nil {
			p.grant(now, rt, r, s, 0)
			return true
		}
		if s, cached := p.pickServer(now, r, v); s != nil {
			p.grant(now, rt, r, s, cached)
			return true
		}
	}
	return false
}

// pickServer returns the best server of the version with room, and the prompt tokens that it probably has cached; nil
// if no server has room.
func (p *Pool) pickServer(now time.Time, r *request, version string) (*server, int) {
	for range maxPickAttempts {
		n, cached := p.picker.Pick(now, routing.Request{
			Version: version, DataCentre: r.DataCentre, PromptTokens: r.PromptTokens, Prefix: r.Prefix, Avoid: r.Avoid,
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

// serverToProbe returns a server in probation that is due for a probe with this request, or nil. Requests of the
// highest tier, retries and non-idempotent requests are used as probes only if every server in service is in probation
// or the probe is overdue.
func (p *Pool) serverToProbe(now time.Time, r *request, version string) *server {
	f := p.versionGroups[version]
	if f == nil || !f.probeDue(now) {
		return nil
	}
	avoidProbe := r.Tier == 0 || r.Attempt > 0 || r.NonIdempotent
	if avoidProbe && f.inService > len(f.probation) && now.Sub(f.nextProbe) < probeOverdueAfter {
		return nil
	}
	for _, s := range f.probation {
		if s.room > 0 && !now.Before(s.capacity.NextProbe()) {
			return s
		}
	}
	return nil
}

// grant assigns the request to the server and counts it there.
func (p *Pool) grant(now time.Time, rt *route, r *request, s *server, cached int) {
	p.removeLatestStart(r)
	r.server, r.version, r.granted, r.expectedCachedTokens = s, s.Version, now, cached
	r.pendingPrefillTokens = int(s.node.PendingTokens(now))
	s.capacity.RecordGrant(now)
	p.picker.RecordGrant(now, s.node, r.PromptTokens, cached, r.Prefix)
	p.refresh(s)
	if rt.split != nil {
		rt.split.recordGrant(r.version)
	}
	p.forecast.granted.add(now, r.item.Cost)
}

// NextDecision returns the latest time at which Decide should be called again if nothing else happens. It returns zero
// if there is no such time.
func (p *Pool) NextDecision() time.Time {
	if len(p.refusals) > 0 {
		return p.now
	}
	var next time.Time
	consider := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, r := range p.orphans {
		consider(r.orphanExpiry())
	}
	if p.queue.Len() == 0 {
		return next
	}
	if len(p.latestStarts) > 0 {
		consider(p.latestStarts[0].latestStart)
	}
	for _, f := range p.versionGroups {
		consider(f.nextProbeChange(p.now))
	}
	return next
}
