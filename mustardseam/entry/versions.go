package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// newVersionDelay is how long backend servers of a new version get no requests while others run an older version: the
// rollout order may not have arrived yet.
const newVersionDelay = 2 * time.Second

// rolloutCount counts the requests to a service since its rollout or its canary share changed, to keep the target to the share.
type rolloutCount struct {
	rollout fleet.Progress // Order and share to which the counts belong.
	all     int            // All requests.
	target  int            // Requests to the target version.
}

// countForRollout counts a request to a service with a rollout; mu must be held.
func (s *Scheduler) countForRollout(v *fleet.View, srv *fleet.Server) {
	r, ok := v.Rollouts[srv.Service]
	if !ok {
		return
	}
	p := v.Progress[srv.Service]
	if !p.BelongsTo(r) {
		p = fleet.Progress{Target: r.Target}
	}
	e := s.rolloutCounts[srv.Service]
	if e.rollout.Target != p.Target || e.rollout.Share != p.Share {
		e = rolloutCount{rollout: p}
	}
	e.all++
	if srv.Version == r.Target {
		e.target++
	}
	s.rolloutCounts[srv.Service] = e
}

// allowedVersions returns the versions of a service to which the next request may go; mu must be held.
func (s *Scheduler) allowedVersions(now time.Time, v *fleet.View, service string) func(version string) bool {
	servers := v.ServersOf(service)
	p, decided := v.Progress[service]
	r, ordered := v.Rollouts[service]
	if ordered && (!decided || !p.BelongsTo(r)) {
		// The order is newer than all decisions: its target gets no requests until the first decision.
		p, decided = fleet.Progress{Target: r.Target, State: fleet.InProgress}, true
	}
	if !decided {
		return withoutNewVersions(now, servers)
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
		// The share is counted rather than drawn at random, because a queued request is evaluated repeatedly.
		e := s.rolloutCounts[service]
		target = has[true] && (p.Share >= 1 || float64(e.target) < p.Share*float64(e.all))
	}
	if !has[false] && p.State != fleet.RolledBack {
		target = true
	}
	return func(version string) bool { return (version == p.Target) == target }
}

// withoutNewVersions excludes versions that appeared recently while others are running.
func withoutNewVersions(now time.Time, servers []*fleet.Server) func(version string) bool {
	first := map[string]time.Time{}
	for _, srv := range servers {
		if at, ok := first[srv.Version]; !srv.Draining && (!ok || srv.FirstSeen.Before(at)) {
			first[srv.Version] = srv.FirstSeen
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
		return at.Equal(oldest) || now.Sub(at) >= newVersionDelay
	}
}
