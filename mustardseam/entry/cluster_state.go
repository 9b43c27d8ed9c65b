package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
	"github.com/mustardseam/mustardseam/mustardseam/ratelimit"
)

// loadsTimeout is how long the loads reported by other instances are used. The longest interval between reports is 1 s.
const loadsTimeout = 1500 * time.Millisecond

// unresponsiveLoadAge is the assumed age of the loads of unresponsive instances. It is about as long as a request holds a
// slot: after that, their known requests end as often as new ones start.
const unresponsiveLoadAge = time.Second

// clusterState is what an instance learns about the others from a report.
type clusterState struct {
	loads            map[string]placement.Load            // Load from the other instances, keyed by backend server id.
	isHub            bool                                 // This instance is the hub.
	loadsByInstance  map[string]map[string]placement.Load // Part of loads from each instance; hub only.
	interTokenMS     map[string]float64                   // Inter-token latency in milliseconds, keyed by backend server id.
	unreachable      map[string]int                       // Instances that failed to reach a backend server, by its id.
	unreachableUntil time.Time                            // When unreachable expires.
	instances        []string                             // Running instances, including this one.
	// stopping lists the instances that get no new requests and still have some at backend servers; set only at the hub.
	stopping []string
	// possibleInstances is the number of instances that may send to the backend servers. It exceeds the number of instances
	// while others are unresponsive.
	possibleInstances int
	// servingInstances is the number of instances that may be serving callers, including silent ones that may be cut off.
	servingInstances int
	quotaUsage       map[string]ratelimit.Usage // Quota usage at the other instances since the last report, keyed by team.
}

// runningInstances returns the names of the running instances, including this one, as of the latest report.
func (s *Scheduler) runningInstances() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances
}

// takeReport returns the data for the next report of this instance and marks the quota usage as reported.
func (s *Scheduler) takeReport() (
	loads map[string]placement.Load, interTokenMS map[string]float64, used map[string]ratelimit.Usage,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.OwnLoads(), s.board.TakeInterTokenChanges(), s.quota.TakePendingUsage()
}

// unreachableServers returns the ids of backend servers that this instance failed to reach.
func (s *Scheduler) unreachableServers(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.UnreachableIDs(now)
}

// loadsByInstance returns the loads from this instance and from those for which it places, keyed by instance.
func (s *Scheduler) loadsByInstance() map[string]map[string]placement.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := map[string]map[string]placement.Load{s.cfg.instance: s.board.OwnLoads()}
	for instance, c := range s.placementServer.clients {
		loads[instance] = c.loads()
	}
	return loads
}

// applyClusterState updates the scheduler from a report.
func (s *Scheduler) applyClusterState(now time.Time, state clusterState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if loads := s.loadsOfOthers(now, state); loads != nil {
		s.board.SetOtherLoads(loads)
		s.loadsUpdated = now
	}
	s.board.SeedInterToken(state.interTokenMS)
	s.board.ApplyReportedUnreachable(now, state.unreachable, state.unreachableUntil)
	s.instances, s.sharersView = state.instances, nil
	s.possibleInstances = max(state.possibleInstances, len(s.sharingInstances(now)))
	s.board.SetInstances(s.possibleInstances, 1+len(s.placementServer.clients))
	s.updateSharers(now)
	if state.isHub {
		s.serverLimiter.AdvanceRound(now)
	}
	s.quota.SetReachable(float64(len(state.instances)) / float64(max(1, len(state.instances), state.servingInstances)))
	if state.quotaUsage != nil {
		s.quota.AddOtherUsage(now, state.quotaUsage)
	}
}

// loadsOfOthers returns the loads from the other instances, or nil when the report has none. For clients of the hub, the
// reported loads are replaced by the hub's own records, which have no reporting delay. mu must be held.
func (s *Scheduler) loadsOfOthers(now time.Time, state clusterState) map[string]placement.Load {
	if !state.isHub {
		s.dropAllClients(now)
		return state.loads
	}
	loads := maps.Clone(state.loads)
	for instance, c := range s.placementServer.clients {
		for id, l := range state.loadsByInstance[instance] {
			loads[id] = loads[id].Minus(l)
		}
		if !slices.Contains(state.instances, instance) && !slices.Contains(state.stopping, instance) {
			s.dropClient(now, instance)
			continue
		}
		for id, l := range c.loads() {
			loads[id] = loads[id].Plus(l)
		}
	}
	return loads
}

// expireLoads discards loads of other instances that are too old. Otherwise an instance that is cut off while all backend
// servers are full would refuse every request until it hears from the others again. Without loads it keeps to its share of
// the slots. mu must be held.
func (s *Scheduler) expireLoads(now time.Time) {
	if now.Sub(s.loadsUpdated) > loadsTimeout {
		s.board.SetOtherLoads(nil)
		s.loadsUpdated = now
	}
}

// addQuotaUsage records quota usage at another instance.
func (s *Scheduler) addQuotaUsage(now time.Time, used map[string]ratelimit.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota.AddOtherUsage(now, used)
}

// quotaLevels returns the quota levels, or nil while this instance does not know them.
func (s *Scheduler) quotaLevels(now time.Time) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.quota.Settled(now) {
		return nil
	}
	return s.quota.Levels(now)
}

// quotasSettled reports whether this instance knows the quota usage from before its start, or has run long enough.
func (s *Scheduler) quotasSettled(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quota.Settled(now)
}

// sharingInstances returns the instances that share quotas and retry budgets, including this one. Until the quotas are settled,
// registered instances count as well because they may be starting at the same time. mu must be held.
func (s *Scheduler) sharingInstances(now time.Time) []string {
	if s.quota.Settled(now) {
		return s.instances
	}
	v := s.cfg.view()
	if s.sharersView != v {
		s.sharersView, s.sharersWhileStarting = v, slices.Clone(s.instances)
		running := map[string]bool{}
		for _, name := range s.instances {
			running[name] = true
		}
		for name := range v.Instances {
			if !running[name] {
				s.sharersWhileStarting = append(s.sharersWhileStarting, name)
			}
		}
	}
	return s.sharersWhileStarting
}

// adoptQuotaLevels takes over the quota levels of another instance.
func (s *Scheduler) adoptQuotaLevels(now time.Time, levels map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota.AdoptLevels(now, levels, len(s.sharingInstances(now)))
}

// updateUnseen updates the board's estimate of the unseen requests, given the average age of a report.
func (s *Scheduler) updateUnseen(reportAge time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	servers := 0
	v := s.cfg.view()
	for _, srv := range v.Servers {
		if v.Config == nil {
			break
		}
		if svc := v.Config.Service(srv.Service); svc != nil && svc.Engine {
			servers++
		}
	}
	if servers == 0 {
		return
	}
	if s.possibleInstances > len(s.instances) {
		reportAge = max(reportAge, unresponsiveLoadAge)
	}
	served := 1 + len(s.placementServer.clients)
	others := s.engineRequestRate.PerSecond(now) / float64(served) * float64(max(0, s.possibleInstances-served))
	s.board.SetUnseen(others * reportAge.Seconds() / float64(servers))
}

// requestsByVersion returns how many requests all instances have at backend servers of a service with the target version and
// with other versions.
func (s *Scheduler) requestsByVersion(v *fleet.View, service, target string) (onTarget, others int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range v.ServersOf(service) {
		if srv.Version == target {
			onTarget += s.board.Load(srv).Requests
		} else {
			others += s.board.Load(srv).Requests
		}
	}
	return onTarget, others
}

// PredictIdleFirstEvent predicts the time to the first event of the request of a grant at an idle backend server of average
// speed.
func (s *Scheduler) PredictIdleFirstEvent(g *Grant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.PredictIdleFirstEvent(g.Service, g.job)
}
