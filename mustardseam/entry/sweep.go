package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// configure applies changed bounds.
func (s *Scheduler) configure(b Bounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota.Configure(b.Quota)
	s.retryBudget.Configure(b.Budget)
	s.coldLimits.Configure(b.ColdStart)
}

// sweep removes state that is no longer used.
func (s *Scheduler) sweep(now time.Time, listed func(fleet.Incarnation) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.Sweep(now, listed)
	s.coldLimits.Sweep(now)
	s.serverLimits.Sweep(now, listed)
	s.serverLimiter.Sweep()
	clear(s.coldAllowances) // Cold backend servers and their rates change.
}
