package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
	"github.com/mustardseam/mustardseam/mustardseam/ratelimit"
)

// TestNewHubKeepsColdAllowances guards against too many requests to a cold backend server after a change of the hub.
func TestNewHubKeepsColdAllowances(t *testing.T) {
	bounds := Bounds{ColdStart: ratelimit.ColdLimiterConfig{RateFactor: 1.5, Slack: 5}}
	svc, srv := &fleet.Service{Name: "pool", ColdRate: 5.2}, &fleet.Server{ID: "s0", Service: "pool", Slots: 2}
	names := []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7"}
	start := time.Now()
	sum := 0
	for i, name := range names {
		s := newScheduler(schedulerConfig{instance: name, bounds: bounds, view: fleet.NewView})
		// The response of the new hub to the report of each instance lists those that have reported before.
		for step, instances := range [][]string{names, names[:i+1]} {
			now := start.Add(time.Minute + time.Duration(step)*time.Second)
			s.applyClusterState(now, clusterState{
				instances: instances, possibleInstances: len(instances), loads: map[string]placement.Load{},
			})
			if step == 1 {
				s.mu.Lock()
				sum += s.coldAllowance(now, svc, srv, name)
				s.mu.Unlock()
			}
		}
	}
	bound := svc.ColdRate*bounds.ColdStart.RateFactor + bounds.ColdStart.Slack
	assert.Assert(t, float64(sum) <= bound, "%d requests a second, allowed %g", sum, bound)
	assert.Assert(t, sum > 0)
}
