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

// TestLostClientFreesSlots guards against slots and queue entries that an instance keeps after it was lost or no longer
// uses the hub.
func TestLostClientFreesSlots(t *testing.T) {
	tests := []struct {
		name  string
		leave func(c *testCluster)
	}{
		{"does not report any more", func(c *testCluster) {
			c.hub.applyClusterState(time.Now(), clusterState{
				instances: []string{"hub"}, possibleInstances: 1, isHub: true, loads: map[string]placement.Load{},
			})
		}},
		{"places its requests itself", func(c *testCluster) { c.hub.removeClient("n0") }},
		{"another instance is the hub", func(c *testCluster) {
			c.hub.applyClusterState(time.Now(), clusterState{
				instances: []string{"hub", "n0"}, possibleInstances: 2, loads: map[string]placement.Load{},
			})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cluster := newTestCluster(t, 1)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for range 3 {
				go func() { _, _ = cluster.instances[0].scheduler.Acquire(ctx, "pool", testJob(3)) }()
			}
			eventually(t, "load", 2, cluster.loadAtHub)
			eventually(t, "queued requests", 1, cluster.queuedAtHub)
			cluster.intercept(func(hub.PlacementUpdate, func() hub.PlacementResponse) (hub.PlacementResponse, error) {
				return hub.PlacementResponse{}, errHubTimeout
			})
			time.Sleep(2 * longPollTimeout) // Messages in transit arrive before.
			test.leave(cluster)
			assert.Equal(t, cluster.loadAtHub(), 0)
			assert.Equal(t, cluster.queuedAtHub(), 0)
		})
	}
}

// TestStoppingClientStaysKnown guards against a hub that, with each report, drops the requests of an instance that is
// stopping and records all of them again with its next update.
func TestStoppingClientStaysKnown(t *testing.T) {
	cluster := newTestCluster(t, 1)
	g, err := cluster.instances[0].scheduler.Acquire(context.Background(), "pool", testJob(0))
	assert.NilError(t, err)
	assert.Equal(t, g.Hub, "hub")
	for range 3 {
		cluster.hub.applyClusterState(time.Now(), clusterState{
			instances: []string{"hub"}, stopping: []string{"n0"}, possibleInstances: 1, isHub: true,
			loads: map[string]placement.Load{},
		})
		assert.Equal(t, cluster.loadAtHub(), 1)
	}
	cluster.instances[0].scheduler.Finish(g, placement.Outcome{Answered: true, OK: true, FirstEvent: true})
	eventually(t, "load", 0, cluster.loadAtHub)
}

// TestBackoffAppliesPerInstance guards against a hub that sends an instance's request to a backend server that asked this
// instance to back off, a hub that keeps other instances from that backend server, and an instance that follows the decision
// of a hub that does not know of the backoff.
func TestBackoffAppliesPerInstance(t *testing.T) {
	cluster := newTestCluster(t, 2)
	first := cluster.instances[0].scheduler
	g, err := first.Acquire(context.Background(), "pool", testJob(0))
	assert.NilError(t, err)
	assert.Equal(t, g.Hub, "hub")
	first.Finish(g, placement.Outcome{NotRun: true, Backoff: time.Hour})
	eventually(t, "load", 0, cluster.loadAtHub)
	_, err = first.Acquire(context.Background(), "pool", testJob(0))
	var r *placement.Refusal
	assert.Assert(t, errors.As(err, &r), "%v", err)
	assert.Assert(t, r.RetryAfter > 0)
	g, err = cluster.instances[1].scheduler.Acquire(context.Background(), "pool", testJob(0))
	assert.NilError(t, err)
	cluster.instances[1].scheduler.Finish(g, placement.Outcome{Answered: true, OK: true})
	svc := cluster.view.Config.Service("pool")
	assert.Assert(t, first.accept(svc, testJob(0), hub.Decision{Server: fleet.Incarnation{ID: "s0"}}) == nil)
}

// TestReorderedUpdates guards against a late update that undoes a later one, and against updates of an earlier run of an
// instance.
func TestReorderedUpdates(t *testing.T) {
	cluster := newTestCluster(t, 0)
	running := []hub.PlacedRequest{{ID: 1, Server: fleet.Incarnation{ID: "s0"}, Route: "r"}}
	assert.Assert(t, cluster.hub.HandleUpdate(hub.PlacementUpdate{
		Instance: "n0", Run: 7, Sequence: 2, Complete: true, Running: running,
	}, 1).Accepted)
	assert.Assert(t, cluster.hub.HandleUpdate(hub.PlacementUpdate{
		Instance: "n0", Run: 7, Sequence: 3, Completed: []hub.CompletedRequest{{ID: 1}},
	}, 1).Accepted)
	assert.Equal(t, cluster.loadAtHub(), 0)
	assert.Assert(t, !cluster.hub.HandleUpdate(hub.PlacementUpdate{
		Instance: "n0", Run: 7, Sequence: 2, Complete: true, Running: running,
	}, 1).Accepted)
	assert.Equal(t, cluster.loadAtHub(), 0)
	assert.Assert(t, !cluster.hub.HandleUpdate(hub.PlacementUpdate{
		Instance: "n0", Run: 6, Sequence: 4, Running: running,
	}, 1).Accepted)
	assert.Equal(t, cluster.loadAtHub(), 0)
}

// TestHubOverloaded guards against a hub whose processor time is used up by the messages of other instances.
func TestHubOverloaded(t *testing.T) {
	cluster := newTestCluster(t, 0)
	update := hub.PlacementUpdate{Instance: "n0", Run: 1, Complete: true}
	served := 0
	for i := range int64(2 * maxMessagesPerCore) {
		update.Sequence = i + 1
		if cluster.hub.HandleUpdate(update, 0.1).Accepted {
			served++
		}
	}
	assert.Assert(t, served < maxMessagesPerCore, "%d messages", served)
	assert.Equal(t, len(cluster.hub.placementServer.clients), 0)
}

// TestLockOrder guards against a deadlock. The end of a request is reported while the scheduler is locked, and the exchange
// of reports locks the scheduler; so the placement client must not wait for that exchange while it holds its own mutex.
func TestLockOrder(t *testing.T) {
	hold, asked := make(chan struct{}), make(chan struct{}, 2)
	s := newScheduler(schedulerConfig{instance: "n0", view: fleet.NewView})
	c := newPlacementClient(placementClientConfig{
		instance: "n0", scheduler: s,
		reachableHub: func(time.Time) (fleet.Instance, bool) {
			asked <- struct{}{}
			<-hold
			return fleet.Instance{}, false
		},
	})
	for _, f := range []func(){func() { c.available() }, func() { c.sendUpdate() }} {
		go f()
		<-asked
	}
	reported := make(chan struct{})
	go func() {
		c.ReportFinished(&Grant{id: 1}, placement.Outcome{})
		close(reported)
	}()
	select {
	case <-reported:
	case <-time.After(10 * time.Second):
		t.Error("the end of a request cannot be recorded")
	}
	close(hold)
}
