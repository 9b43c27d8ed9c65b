package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// allowance is a cold backend server and an instance that may use it.
type allowance struct {
	server   fleet.Incarnation
	instance string
}

// allowed returns how many requests an instance may send to a cold backend server in a second; mu is held. It follows from
// hashes over all instances, which take long where many wait for many cold ones.
func (s *Scheduler) allowed(now time.Time, svc *fleet.Service, srv *fleet.Server, instance string) int {
	key := allowance{server: srv.Incarnation(), instance: instance}
	n, ok := s.allowances[key]
	if !ok {
		n = s.cold.Allowed(svc.ColdRate, srv, instance, s.members(now))
		s.allowances[key] = n
	}
	return n
}
