package peers

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// Policies lists the schedulers: the product's, the same with one instance that knows everything at once, and rules that
// never let a request wait at an instance.
var Policies = []string{"peers", "one-instance", "round-robin", "least-outstanding", "shortest-wait"}

// Own lists the policies that are the product's.
var Own = []string{"peers", "one-instance"}

// chooser returns the backend server for a job, or nil when it is to wait.
type chooser func(now time.Time, j *placement.Job, waiting bool) *fleet.Server

// chooser returns the rule of a policy at an instance.
func (n *node) chooser(policy string) chooser {
	switch policy {
	case "round-robin":
		return func(time.Time, *placement.Job, bool) *fleet.Server {
			n.turn++
			return n.w.servers[n.turn%len(n.w.servers)]
		}
	case "least-outstanding":
		return n.least(func(s *fleet.Server, _ *placement.Job) float64 { return float64(n.board.Load(s).Requests) })
	case "shortest-wait":
		return n.least(func(s *fleet.Server, j *placement.Job) float64 {
			return n.board.PredictFirstEvent(n.w.service, s, j).Seconds()
		})
	default:
		return func(now time.Time, j *placement.Job, waiting bool) *fleet.Server {
			return n.board.Choose(now, placement.Candidates{Service: n.w.service, Servers: n.w.servers}, j, j.MaxQueueDepth(now), waiting)
		}
	}
}

// least returns a rule that chooses the backend server with the least cost of those that answer and were not tried; the
// instances begin at different ones.
func (n *node) least(cost func(*fleet.Server, *placement.Job) float64) chooser {
	return func(now time.Time, j *placement.Job, _ bool) *fleet.Server {
		var best *fleet.Server
		lowest := 0.0
		for i := range n.w.servers {
			s := n.w.servers[(n.turn+i)%len(n.w.servers)]
			if n.board.Avoided(now, s) {
				continue
			}
			if c := cost(s, j); best == nil || c < lowest {
				best, lowest = s, c
			}
		}
		n.turn++
		if best == nil {
			best = n.w.servers[n.turn%len(n.w.servers)]
		}
		return best
	}
}
