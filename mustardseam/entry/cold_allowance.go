package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// coldAllowanceKey identifies the limit of an instance at a cold backend server.
type coldAllowanceKey struct {
	server   fleet.Incarnation
	instance string
}

// coldAllowance returns how many requests per second an instance may send to a cold backend server; mu must be held. It is
// computed from hashes over all instances, which is slow when many requests are queued and many backend servers are cold.
func (s *Scheduler) coldAllowance(now time.Time, svc *fleet.Service, srv *fleet.Server, instance string) int {
	key := coldAllowanceKey{server: srv.Incarnation(), instance: instance}
	n, ok := s.coldAllowances[key]
	if !ok {
		n = s.coldLimits.Allowed(svc.ColdRate, srv, instance, s.sharersOfLimits(now))
		s.coldAllowances[key] = n
	}
	return n
}
