package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/poll"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

var errHubTimeout = errors.New("no answer")

// testCluster is a hub and instances that are connected without a network.
type testCluster struct {
	hub       *Scheduler
	instances []*testInstance
	view      *fleet.View

	// mu guards interceptor, which replaces the connection to the hub unless it is nil.
	mu          sync.Mutex
	interceptor func(update hub.PlacementUpdate, answer func() hub.PlacementResponse) (hub.PlacementResponse, error)
}

type testInstance struct {
	scheduler       *Scheduler
	placementClient *placementClient
	view            *fleet.View // View of this instance; nil for the view of the cluster.
}

// newTestCluster starts a hub and instances that share one engine with two slots.
func newTestCluster(t *testing.T, instances int) *testCluster {
	t.Helper()
	config := fleet.NewConfig(1, nil, []fleet.Service{{Name: "pool", Engine: true, TokensPerEvent: 4}}, nil, fleet.Limits{})
	c := &testCluster{view: fleet.NewView().With(fleet.Change{Config: config}).
		With(fleet.Change{Server: &fleet.Server{ID: "s0", Service: "pool", Slots: 2}})}
	c.hub = newScheduler(schedulerConfig{instance: "hub", view: func() *fleet.View { return c.view }})
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	log := zerolog.New(io.Discard)
	names := []string{"hub"}
	for i := range instances {
		n := &testInstance{}
		n.scheduler = newScheduler(schedulerConfig{instance: fmt.Sprintf("n%d", i), view: func() *fleet.View {
			if n.view != nil {
				return n.view
			}
			return c.view
		}})
		n.placementClient = newPlacementClient(placementClientConfig{
			instance: fmt.Sprintf("n%d", i), run: int64(i + 1), scheduler: n.scheduler, send: c.send, log: &log,
			reachableHub: func(time.Time) (fleet.Instance, bool) { return fleet.Instance{Name: "hub", Address: "hub"}, true },
		})
		n.scheduler.remote = n.placementClient
		ended.Go(func() { n.placementClient.run(ctx) })
		c.instances = append(c.instances, n)
		names = append(names, fmt.Sprintf("n%d", i))
	}
	// isHub matters for the hub only: the other schedulers have no clients.
	for _, s := range append([]*Scheduler{c.hub}, c.schedulers()...) {
		s.applyClusterState(time.Now(), clusterState{
			instances: names, possibleInstances: len(names), isHub: true, loads: map[string]placement.Load{},
		})
	}
	t.Cleanup(func() {
		cancel()
		ended.Wait()
	})
	return c
}

func (c *testCluster) schedulers() (list []*Scheduler) {
	for _, n := range c.instances {
		list = append(list, n.scheduler)
	}
	return list
}

// send delivers an update to the hub.
func (c *testCluster) send(_ string, update hub.PlacementUpdate) (hub.PlacementResponse, error) {
	c.mu.Lock()
	interceptor := c.interceptor
	c.mu.Unlock()
	if interceptor != nil {
		return interceptor(update, func() hub.PlacementResponse { return c.hub.HandleUpdate(update, 1) })
	}
	return c.hub.HandleUpdate(update, 1), nil
}

// intercept replaces the connection to the hub; nil restores it.
func (c *testCluster) intercept(
	f func(update hub.PlacementUpdate, answer func() hub.PlacementResponse) (hub.PlacementResponse, error),
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interceptor = f
}

// loadAtHub returns the number of requests that the hub counts at the engine.
func (c *testCluster) loadAtHub() int {
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	return c.hub.board.Load(c.view.Servers["s0"]).Requests
}

// queuedAtHub returns the number of requests in the queue of the hub.
func (c *testCluster) queuedAtHub() int { return c.hub.Waiting() }

func testJob(tier int) *placement.Job {
	now := time.Now()
	return &placement.Job{
		Route: "r", Tier: tier, RouteTier: tier, PromptTokens: 1000, MaxOutputTokens: 100, Arrived: now,
		Objective: now.Add(time.Minute),
		Deadline:  now.Add(time.Hour),
	}
}

// eventually waits until get returns the wanted value.
func eventually(t *testing.T, what string, want int, get func() int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := get(); got != want {
			return poll.Continue("%s: %d, want %d", what, got, want)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
}
