package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// TestOldLoadsExpire guards against an instance that is cut off from the others while all backend servers are full, and
// refuses every request because of those old loads until it hears from the others again.
func TestOldLoadsExpire(t *testing.T) {
	config := fleet.NewConfig(1, nil, []fleet.Service{{Name: "pool", Engine: true, TokensPerEvent: 4}}, nil, fleet.Limits{})
	v := fleet.NewView().With(fleet.Change{Config: config}).
		With(fleet.Change{Server: &fleet.Server{ID: "s0", Service: "pool", Slots: 4}})
	s := newScheduler(schedulerConfig{instance: "n0", view: func() *fleet.View { return v }})
	now := time.Now()
	hour := now.Add(time.Hour)
	j := &placement.Job{Tier: 2, PromptTokens: 1000, MaxOutputTokens: 100, Arrived: now, Objective: hour, Deadline: hour}
	g, _ := s.place(now, "pool", j, false, false)
	assert.Assert(t, g != nil)
	s.Finish(g, placement.Outcome{Answered: true, OK: true})
	s.applyClusterState(now, clusterState{loads: map[string]placement.Load{"s0": {Requests: 4}}, possibleInstances: 2})
	g, _ = s.place(now.Add(loadsTimeout), "pool", j, false, false)
	assert.Assert(t, g == nil, "the loads of the others are still valid")
	g, _ = s.place(now.Add(loadsTimeout+time.Millisecond), "pool", j, false, false)
	assert.Assert(t, g != nil, "the loads have expired")
}
