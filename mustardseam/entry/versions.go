package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// versionWait is how long the backend servers of a new version get nothing beside those of an older one: the order to
// move traffic to them may not have arrived yet.
const versionWait = 2 * time.Second

// exposure counts the requests to a service since the order of a rollout.
type exposure struct {
	order  int64
	all    int
	target int
}

// exposed records a request to a service with a rollout; mu is held.
func (s *Scheduler) exposed(v *fleet.View, srv *fleet.Server) {
	r, ok := v.Rollouts[srv.Service]
	if !ok {
		return
	}
	e := s.exposures[srv.Service]
	if e.order != r.Revision {
		e = exposure{order: r.Revision}
	}
	e.all++
	if srv.Version == r.Target {
		e.target++
	}
	s.exposures[srv.Service] = e
}

// versions decides for one request which versions of a service it may go to; mu is held.
func (s *Scheduler) versions(now time.Time, v *fleet.View, service string) func(version string) bool {
	servers := v.Of(service)
	p, decided := v.Progress[service]
	r, ordered := v.Rollouts[service]
	if ordered && (!decided || p.Order != r.Revision) {
		// The order is newer than all decisions: its target waits for the first one.
		p, decided = fleet.Progress{Target: r.Target, State: fleet.InProgress}, true
	}
	if !decided {
		return newcomers(now, servers)
	}
	has := map[bool]bool{}
	for _, srv := range servers {
		if !srv.Draining {
			has[srv.Version == p.Target] = true
		}
	}
	target := false
	switch p.State {
	case fleet.Complete:
		target = has[true]
	case fleet.RolledBack:
		target = false
	default:
		// Counted and not drawn, because a request that waits asks again and again.
		e := s.exposures[service]
		target = has[true] && (p.Share >= 1 || float64(e.target) < p.Share*float64(e.all))
	}
	if !has[false] && p.State != fleet.RolledBack {
		target = true
	}
	return func(version string) bool { return (version == p.Target) == target }
}

// newcomers holds back versions that appeared lately beside others.
func newcomers(now time.Time, servers []*fleet.Server) func(version string) bool {
	first := map[string]time.Time{}
	for _, srv := range servers {
		if at, ok := first[srv.Version]; !srv.Draining && (!ok || srv.Seen.Before(at)) {
			first[srv.Version] = srv.Seen
		}
	}
	if len(first) < 2 {
		return func(string) bool { return true }
	}
	var oldest time.Time
	for _, at := range first {
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return func(version string) bool {
		at := first[version]
		return at.Equal(oldest) || now.Sub(at) >= versionWait
	}
}
