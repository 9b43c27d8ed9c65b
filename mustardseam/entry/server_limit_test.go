package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// limitOf returns the message that s0 has named a limit in requests per second.
func limitOf(perSecond float64) []hub.ServerLimit {
	return []hub.ServerLimit{{
		Server: fleet.Incarnation{ID: "s0"}, Limit: fleet.RequestLimit{Named: true, PerSecond: perSecond},
	}}
}

// placeOnce reports whether a scheduler places a request of an instance at a given time. The request ends at once.
func placeOnce(s *Scheduler, now time.Time, instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := testJob(0)
	j.Instance = instance
	g, _ := s.place(now, "pool", j, false, false)
	if g == nil {
		return false
	}
	s.finish(now, g, placement.Outcome{Answered: true, OK: true})
	return true
}

// TestHubKeepsToServerLimit guards against a hub that places beyond a limit which another instance reported.
func TestHubKeepsToServerLimit(t *testing.T) {
	cluster, now := newTestCluster(t, 3), time.Now()
	cluster.hub.applyRelayedLimits(now, 0, limitOf(1))
	placed := 0
	names := []string{"hub", "n0", "n1", "n2"}
	for at := time.Duration(0); at < 8*time.Second; at += 50 * time.Millisecond {
		cluster.hub.applyClusterState(now.Add(at), clusterState{
			instances: names, possibleInstances: len(names), isHub: true, loads: map[string]placement.Load{},
		})
		for _, instance := range names {
			if placeOnce(cluster.hub, now.Add(at), instance) {
				placed++
			}
		}
	}
	assert.Assert(t, placed >= 5 && placed <= 9, "%d requests in 8 s", placed)
}

// TestHubDecisionBeyondServerLimit guards against following a hub that does not know of the limit.
func TestHubDecisionBeyondServerLimit(t *testing.T) {
	cluster := newTestCluster(t, 1)
	first, svc := cluster.instances[0].scheduler, cluster.view.Config.Service("pool")
	decision := hub.Decision{Server: fleet.Incarnation{ID: "s0"}}
	first.applyRelayedLimits(time.Now(), 0, limitOf(2))
	assert.Assert(t, first.accept(svc, testJob(0), decision) == nil)
	time.Sleep(1100 * time.Millisecond)
	assert.Assert(t, first.accept(svc, testJob(0), decision) != nil)
	assert.Assert(t, first.accept(svc, testJob(0), decision) == nil)
}

// TestHubCountsRequestsPlacedElsewhere guards against a hub that grants a share that was used without asking it.
func TestHubCountsRequestsPlacedElsewhere(t *testing.T) {
	cluster, now := newTestCluster(t, 0), time.Now()
	s := cluster.hub
	s.applyClusterState(now, clusterState{
		instances: []string{"hub", "n0"}, possibleInstances: 2, isHub: true, loads: map[string]placement.Load{},
	})
	s.applyRelayedLimits(now.Add(-10*time.Second), 0, limitOf(2))
	running := []hub.PlacedRequest{{ID: 1, Server: fleet.Incarnation{ID: "s0"}, Route: "r"}}
	s.HandleUpdate(hub.PlacementUpdate{Instance: "n0", Run: 7, Sequence: 1, Complete: true}, 1)
	assert.Equal(t, s.serverLimiter.Wait(now.Add(time.Second), "s0", "n0"), time.Duration(0))
	s.HandleUpdate(hub.PlacementUpdate{Instance: "n0", Run: 7, Sequence: 2, Running: running}, 1)
	assert.Assert(t, !placeOnce(s, time.Now(), "n0"))
}

// TestRefusalAtServerLimit guards against waiting until the deadline for backend servers at their limit.
func TestRefusalAtServerLimit(t *testing.T) {
	cluster := newTestCluster(t, 1)
	first := cluster.instances[0].scheduler
	for _, s := range []*Scheduler{cluster.hub, first} {
		s.applyRelayedLimits(time.Now(), 0, limitOf(0))
	}
	j := testJob(0)
	j.Deadline = j.Arrived.Add(4 * time.Second)
	_, err := first.Acquire(context.Background(), "pool", j)
	var r *placement.Refusal
	assert.Assert(t, errors.As(err, &r), "%v", err)
	assert.Assert(t, time.Since(j.Arrived) < time.Second)
	assert.Assert(t, r.RetryAfter > 0)
}

// TestNewHubKeepsShares guards against larger shares of a limit while a new hub hears from the others.
func TestNewHubKeepsShares(t *testing.T) {
	cluster, now := newTestCluster(t, 3), time.Now()
	s := cluster.instances[0].scheduler
	all := []string{"hub", "n0", "n1", "n2"}
	s.applyRelayedLimits(now.Add(-time.Minute), 0, limitOf(4))
	s.applyClusterState(now, clusterState{instances: all, possibleInstances: 4, loads: map[string]placement.Load{}})
	placed := 0
	for at := time.Duration(0); at < 4*time.Second; at += 50 * time.Millisecond {
		s.applyClusterState(now.Add(at), clusterState{
			instances: []string{"n0"}, possibleInstances: 1, isHub: true, loads: map[string]placement.Load{},
		})
		if placeOnce(s, now.Add(at), "") {
			placed++
		}
	}
	assert.Assert(t, placed >= 3 && placed <= 5, "%d requests in 4 s", placed)
}

// TestServerLimitOfNextIncarnation guards against a backend server that is flooded, or held to an old limit, after its restart.
func TestServerLimitOfNextIncarnation(t *testing.T) {
	cluster, now := newTestCluster(t, 0), time.Now()
	s, old, next := cluster.hub, fleet.Incarnation{ID: "s0"}, fleet.Incarnation{ID: "s0", StartMS: 5}
	limit := fleet.RequestLimit{Named: true, PerSecond: 1}
	assert.Assert(t, s.recordLimit(now, now, old, limit))
	cluster.view = cluster.view.With(fleet.Change{Server: &fleet.Server{ID: "s0", StartMS: 5, Service: "pool", Slots: 2}})
	assert.Equal(t, s.serverLimit(cluster.view.Servers["s0"]), limit)
	assert.Assert(t, s.recordLimit(now.Add(time.Second), now, next, fleet.RequestLimit{}))
	assert.Assert(t, !s.recordLimit(now.Add(2*time.Second), now, old, limit))
	assert.Equal(t, len(s.applyRelayedLimits(now.Add(3*time.Second), 0, limitOf(1))), 0)
	assert.Equal(t, s.serverLimit(cluster.view.Servers["s0"]), fleet.RequestLimit{})
}
