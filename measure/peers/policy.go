package peers

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// Policies lists the scheduling policies: the product's, the same with a single instance that knows all loads immediately,
// and policies that never queue a request at an instance.
var Policies = []string{"peers", "one-instance", "round-robin", "least-outstanding", "shortest-wait"}

// Own lists the policies that use the product's scheduler.
var Own = []string{"peers", "one-instance"}

// chooser returns the backend server for a job, or nil if the job must wait.
type chooser func(now time.Time, j *placement.Job, waiting bool) *fleet.Server

// newChooser returns the chooser of a policy at the instance.
func (inst *instance) newChooser(policy string) chooser {
	switch policy {
	case "round-robin":
		return func(time.Time, *placement.Job, bool) *fleet.Server {
			inst.nextServer++
			return inst.w.servers[inst.nextServer%len(inst.w.servers)]
		}
	case "least-outstanding":
		return inst.leastCost(func(s *fleet.Server, _ *placement.Job) float64 { return float64(inst.board.Load(s).Requests) })
	case "shortest-wait":
		return inst.leastCost(func(s *fleet.Server, j *placement.Job) float64 {
			return inst.board.PredictFirstEvent(inst.w.service, s, j).Seconds()
		})
	default:
		return func(now time.Time, j *placement.Job, waiting bool) *fleet.Server {
			return inst.board.Choose(now, placement.Candidates{Service: inst.w.service, Servers: inst.w.servers}, j, j.MaxQueueDepth(now), waiting)
		}
	}
}

// leastCost returns a chooser of the backend server with the lowest cost among those that respond, or the next one in turn
// if none does. Each instance starts the search at a different server.
func (inst *instance) leastCost(cost func(*fleet.Server, *placement.Job) float64) chooser {
	return func(now time.Time, j *placement.Job, _ bool) *fleet.Server {
		var best *fleet.Server
		lowest := 0.0
		for i := range inst.w.servers {
			s := inst.w.servers[(inst.nextServer+i)%len(inst.w.servers)]
			if inst.board.Avoided(now, s) {
				continue
			}
			if c := cost(s, j); best == nil || c < lowest {
				best, lowest = s, c
			}
		}
		inst.nextServer++
		if best == nil {
			best = inst.w.servers[inst.nextServer%len(inst.w.servers)]
		}
		return best
	}
}
