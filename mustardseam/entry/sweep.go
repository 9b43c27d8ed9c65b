package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// configure replaces the bounds.
func (s *Scheduler) configure(b Bounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota.Configure(b.Quota)
	s.budget.Configure(b.Budget)
	s.cold.Configure(b.Cold)
}

// sweep forgets accounts that are not used any more.
func (s *Scheduler) sweep(now time.Time, listed func(fleet.Incarnation) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.Sweep(now, listed)
	s.cold.Sweep(now)
	clear(s.allowances) // Cold backend servers and their rates change.
}
