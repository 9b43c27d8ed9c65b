package entry

import (
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// candidates are the backend servers that may get work from an instance.
type candidates struct {
	placement.Candidates
	scope     failureScope  // Scope of the failure if none of them has room for a job.
	limitWait time.Duration // Time until one that is left out for its request limit accepts a request; 0 if there is none.
}

// candidates returns the backend servers of a service that may get work from an instance. Cold ones and those with a lapsed
// store entry are fallback candidates only. mu must be held.
func (s *Scheduler) candidates(now time.Time, v *fleet.View, svc *fleet.Service, instance string) candidates {
	l := s.eligibleServers(now, v, svc)
	c := candidates{Candidates: placement.Candidates{Service: svc, Servers: l.warm, Fallback: l.lapsed}, scope: scopeAll}
	for _, srv := range l.cold {
		if s.coldLimits.Free(now, srv, instance, s.coldAllowance(now, svc, srv, instance)) {
			c.Fallback = append(c.Fallback[:len(c.Fallback):len(c.Fallback)], srv)
		}
	}
	if len(l.cold) > 0 {
		c.scope = scopePreferred // Instances differ in the cold backend servers that they may use.
	}
	if s.board.AnyBackoff(now) {
		c.scope = scopeInstance // Instances differ in the backend servers that asked them to back off.
	}
	if s.serverLimits.AnyNamed() {
		c.Servers = s.leaveOutLimited(now, instance, c.Servers, &c)
		c.Fallback = s.leaveOutLimited(now, instance, c.Fallback, &c)
	}
	return c
}

// leaveOutLimited returns the backend servers whose request limit allows a request of an instance now, and updates the
// scope and the wait of c. mu must be held.
func (s *Scheduler) leaveOutLimited(
	now time.Time, instance string, servers []*fleet.Server, c *candidates,
) []*fleet.Server {
	limited := func(srv *fleet.Server) bool {
		if !s.serverLimits.Of(srv.ID).Named {
			return false
		}
		c.scope = scopeInstance
		wait := s.serverLimiter.Wait(now, srv.ID, instance)
		if wait > 0 && (c.limitWait == 0 || wait < c.limitWait) {
			c.limitWait = wait
		}
		return wait > 0
	}
	if !slices.ContainsFunc(servers, limited) {
		return servers
	}
	return slices.DeleteFunc(slices.Clone(servers), limited)
}
