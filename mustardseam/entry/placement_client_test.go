package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// TestHubSharesSlotsByTier guards against instances that overfill an engine together, or serve their own requests before
// more urgent ones of other instances. Four instances ask for two slots; queued requests are served in the order of their
// tiers across all instances.
func TestHubSharesSlotsByTier(t *testing.T) {
	cluster := newTestCluster(t, 4)
	ctx := context.Background()
	var grants []*Grant
	for i := range 2 {
		g, err := cluster.instances[i].scheduler.Acquire(ctx, "pool", testJob(3))
		assert.NilError(t, err)
		grants = append(grants, g)
	}
	assert.Equal(t, cluster.loadAtHub(), 2)
	order := make(chan int, 4)
	for _, tier := range []int{5, 3, 4} { // By instance: the most urgent tier is not the first.
		n := cluster.instances[tier-2]
		waiting := cluster.queuedAtHub()
		go func() {
			g, err := n.scheduler.Acquire(ctx, "pool", testJob(tier))
			if err != nil {
				order <- -1
				return
			}
			order <- tier
			n.scheduler.Finish(g, placement.Outcome{Answered: true, OK: true, FirstEvent: true})
		}()
		eventually(t, "queued requests", waiting+1, cluster.queuedAtHub)
	}
	assert.Equal(t, cluster.loadAtHub(), 2)
	cluster.instances[0].scheduler.Finish(grants[0], placement.Outcome{Answered: true, OK: true, FirstEvent: true})
	for _, want := range []int{3, 4, 5} {
		assert.Equal(t, <-order, want)
	}
	cluster.instances[1].scheduler.Finish(grants[1], placement.Outcome{Answered: true, OK: true, FirstEvent: true})
	eventually(t, "load", 0, cluster.loadAtHub)
}

// TestHubUnavailable guards against requests that wait for a hub that does not answer, and against a hub that does not
// learn afterwards which requests were placed without it.
func TestHubUnavailable(t *testing.T) {
	cluster := newTestCluster(t, 1)
	n := cluster.instances[0].scheduler
	cluster.intercept(func(hub.PlacementUpdate, func() hub.PlacementResponse) (hub.PlacementResponse, error) {
		return hub.PlacementResponse{}, errHubTimeout
	})
	first, err := n.Acquire(context.Background(), "pool", testJob(0))
	assert.NilError(t, err)
	assert.Equal(t, cluster.loadAtHub(), 0)
	cluster.intercept(nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		g, err := n.Acquire(context.Background(), "pool", testJob(0))
		if err != nil {
			return poll.Error(err)
		}
		n.Finish(g, placement.Outcome{Answered: true, OK: true, FirstEvent: true})
		if cluster.loadAtHub() == 0 {
			return poll.Continue("the hub does not know the requests")
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(10*time.Second))
	eventually(t, "load", 1, cluster.loadAtHub)
	n.Finish(first, placement.Outcome{Answered: true, OK: true, FirstEvent: true})
	eventually(t, "load", 0, cluster.loadAtHub)
}

// TestLostDecisionFreesSlot guards against slots that stay occupied after an answer of the hub was lost. The instance has
// placed the request itself, and the hub must count it once.
func TestLostDecisionFreesSlot(t *testing.T) {
	cluster := newTestCluster(t, 1)
	n := cluster.instances[0].scheduler
	cluster.intercept(func(_ hub.PlacementUpdate, answer func() hub.PlacementResponse) (hub.PlacementResponse, error) {
		answer()
		return hub.PlacementResponse{}, errHubTimeout
	})
	g, err := n.Acquire(context.Background(), "pool", testJob(0))
	assert.NilError(t, err)
	assert.Equal(t, cluster.loadAtHub(), 1)
	cluster.intercept(nil)
	time.Sleep(initialFallback + initialFallback/2) // The longest fallback after one failure.
	other, err := n.Acquire(context.Background(), "pool", testJob(0))
	assert.NilError(t, err)
	assert.Equal(t, cluster.loadAtHub(), 2)
	n.Finish(g, placement.Outcome{Answered: true, OK: true, FirstEvent: true})
	n.Finish(other, placement.Outcome{Answered: true, OK: true, FirstEvent: true})
	eventually(t, "load", 0, cluster.loadAtHub)
}

// TestFailedPollFreesSlots guards against slots that stay occupied at the hub when a long poll fails while an update is
// being sent: the changes that were pending at the instance are discarded by then.
func TestFailedPollFreesSlots(t *testing.T) {
	cluster := newTestCluster(t, 1)
	n := cluster.instances[0].scheduler
	var grants []*Grant
	for range 2 {
		g, err := n.Acquire(context.Background(), "pool", testJob(3))
		assert.NilError(t, err)
		grants = append(grants, g)
	}
	failPoll, releaseUpdate := make(chan struct{}), make(chan struct{})
	endReported := make(chan struct{}, 1)
	cluster.intercept(func(update hub.PlacementUpdate, answer func() hub.PlacementResponse) (hub.PlacementResponse, error) {
		if update.WaitMS > 0 {
			<-failPoll
			return hub.PlacementResponse{}, errHubTimeout
		}
		response := answer()
		if len(update.Completed) > 0 {
			endReported <- struct{}{}
			<-releaseUpdate
		}
		return response, nil
	})
	third := make(chan *Grant)
	go func() {
		g, err := n.Acquire(context.Background(), "pool", testJob(3))
		assert.Check(t, err)
		third <- g
	}()
	eventually(t, "queued requests", 1, cluster.queuedAtHub)
	n.Finish(grants[0], placement.Outcome{Answered: true, OK: true, FirstEvent: true})
	<-endReported
	n.Finish(grants[1], placement.Outcome{Answered: true, OK: true, FirstEvent: true})
	close(failPoll)
	g := <-third
	cluster.intercept(nil)
	close(releaseUpdate)
	n.Finish(g, placement.Outcome{Answered: true, OK: true, FirstEvent: true})
	eventually(t, "load", 0, func() int {
		// The next request makes the instance contact the hub again.
		if g, err := n.Acquire(context.Background(), "pool", testJob(3)); err == nil {
			n.Finish(g, placement.Outcome{Answered: true, OK: true, FirstEvent: true})
		}
		time.Sleep(5 * time.Millisecond)
		return cluster.loadAtHub()
	})
}

// TestClosedClientPlacesLocally guards against requests that wait for a hub after the placement client was closed.
func TestClosedClientPlacesLocally(t *testing.T) {
	config := fleet.NewConfig(1, nil, []fleet.Service{{Name: "pool", Engine: true}}, nil, fleet.Limits{})
	v := fleet.NewView().With(fleet.Change{Config: config}).
		With(fleet.Change{Server: &fleet.Server{ID: "s0", Service: "pool", Slots: 2}})
	s := newScheduler(schedulerConfig{instance: "n0", view: func() *fleet.View { return v }})
	c := newPlacementClient(placementClientConfig{
		instance: "n0", scheduler: s,
		reachableHub: func(time.Time) (fleet.Instance, bool) { return fleet.Instance{Name: "hub"}, true },
	})
	s.remote = c
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.run(ctx)
	g, err := s.Acquire(context.Background(), "pool", testJob(0))
	assert.NilError(t, err)
	assert.Equal(t, g.Hub, "")
}

// TestCallerGoneFreesHubQueue guards against requests that stay queued at the hub, or occupy a slot, after their callers
// closed the connection.
func TestCallerGoneFreesHubQueue(t *testing.T) {
	cluster := newTestCluster(t, 2)
	var grants []*Grant
	for range 2 {
		g, err := cluster.instances[0].scheduler.Acquire(context.Background(), "pool", testJob(3))
		assert.NilError(t, err)
		grants = append(grants, g)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := cluster.instances[1].scheduler.Acquire(ctx, "pool", testJob(3))
		ended <- err
	}()
	eventually(t, "queued requests", 1, cluster.queuedAtHub)
	cancel(errTimeout)
	assert.ErrorIs(t, <-ended, errTimeout)
	eventually(t, "queued requests", 0, cluster.queuedAtHub)
	for _, g := range grants {
		cluster.instances[0].scheduler.Finish(g, placement.Outcome{Answered: true, OK: true, FirstEvent: true})
	}
	eventually(t, "load", 0, cluster.loadAtHub)
}

// TestHubChoosesDrainingServer guards against a request that is sent to a backend server that the instance, unlike the
// hub, knows to be draining.
func TestHubChoosesDrainingServer(t *testing.T) {
	cluster := newTestCluster(t, 1)
	leaving := *cluster.view.Servers["s0"]
	leaving.Draining = true
	other := &fleet.Server{ID: "s1", Service: "pool", Slots: 2}
	cluster.instances[0].view = cluster.view.With(fleet.Change{Server: &leaving}).With(fleet.Change{Server: other})
	g, err := cluster.instances[0].scheduler.Acquire(context.Background(), "pool", testJob(0))
	assert.NilError(t, err)
	assert.Equal(t, g.Server.ID, "s1")
	eventually(t, "load", 0, cluster.loadAtHub)
}
