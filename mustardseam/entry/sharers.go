package entry

import (
	"maps"
	"slices"
	"time"
)

// sharerRetention is how long an instance that is no longer known to run keeps its share in the limits of backend servers.
// A new hub needs this time to hear from all other instances.
const sharerRetention = 5 * time.Second

// sharersOfLimits returns the instances that share the limits of backend servers, sorted: those that ran within the
// retention time, all that were known during a possible partition, and those that may be starting. mu must be held.
func (s *Scheduler) sharersOfLimits(now time.Time) []string {
	if !s.quota.Settled(now) && s.sharersView != s.cfg.view() {
		s.updateSharers(now)
	}
	return s.limitSharers
}

// updateSharers updates the instances that share the limits of backend servers; mu must be held.
func (s *Scheduler) updateSharers(now time.Time) {
	for _, name := range s.sharingInstances(now) {
		s.activeAt[name] = now
	}
	if s.possibleInstances <= len(s.instances) {
		maps.DeleteFunc(s.activeAt, func(_ string, at time.Time) bool { return now.Sub(at) >= sharerRetention })
	}
	sharers := slices.Sorted(maps.Keys(s.activeAt))
	if slices.Equal(sharers, s.limitSharers) {
		return
	}
	s.limitSharers = sharers
	s.serverLimiter.SetInstances(sharers)
	clear(s.coldAllowances)
}
