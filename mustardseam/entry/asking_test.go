package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

// TestPlacedByHub guards against instances that fill an engine together, or serve their own requests before more urgent
// ones of others: four instances ask for two slots, and what waits goes by tier over all of them.
func TestPlacedByHub(t *testing.T) {
	p := newPlacing(t, 4)
	ctx := context.Background()
	var grants []*Grant
	for i := range 2 {
		g, err := p.nodes[i].scheduler.Obtain(ctx, "pool", placingJob(3))
		assert.NilError(t, err)
		grants = append(grants, g)
	}
	assert.Equal(t, p.load(), 2)
	order := make(chan int, 4)
	for _, tier := range []int{5, 3, 4} { // By instance: the most urgent one is not the first.
		n := p.nodes[tier-2]
		waiting := p.waits()
		go func() {
			g, err := n.scheduler.Obtain(ctx, "pool", placingJob(tier))
			if err != nil {
				order <- -1
				return
			}
			order <- tier
			n.scheduler.Finish(g, place.Outcome{Answered: true, OK: true, First: true})
		}()
		eventually(t, "waiting requests", waiting+1, p.waits)
	}
	assert.Equal(t, p.load(), 2)
	p.nodes[0].scheduler.Finish(grants[0], place.Outcome{Answered: true, OK: true, First: true})
	for _, want := range []int{3, 4, 5} {
		assert.Equal(t, <-order, want)
	}
	p.nodes[1].scheduler.Finish(grants[1], place.Outcome{Answered: true, OK: true, First: true})
	eventually(t, "load", 0, p.load)
}

// TestHubSilent guards against requests that wait for a hub that does not answer, and against a hub that does not learn
// afterwards what was placed without it.
func TestHubSilent(t *testing.T) {
	p := newPlacing(t, 1)
	n := p.nodes[0].scheduler
	p.setFail(func(hub.News, func() hub.Decisions) (hub.Decisions, error) { return hub.Decisions{}, errSilentHub })
	first, err := n.Obtain(context.Background(), "pool", placingJob(0))
	assert.NilError(t, err)
	assert.Equal(t, p.load(), 0)
	p.setFail(nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		g, err := n.Obtain(context.Background(), "pool", placingJob(0))
		if err != nil {
			return poll.Error(err)
		}
		n.Finish(g, place.Outcome{Answered: true, OK: true, First: true})
		if p.load() == 0 {
			return poll.Continue("the hub does not know the requests")
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(10*time.Second))
	eventually(t, "load", 1, p.load)
	n.Finish(first, place.Outcome{Answered: true, OK: true, First: true})
	eventually(t, "load", 0, p.load)
}

// TestLostDecision guards against slots that stay taken after the hub's answer was lost: the instance has placed the
// request itself, and the hub must count it once.
func TestLostDecision(t *testing.T) {
	p := newPlacing(t, 1)
	n := p.nodes[0].scheduler
	p.setFail(func(_ hub.News, answer func() hub.Decisions) (hub.Decisions, error) {
		answer()
		return hub.Decisions{}, errSilentHub
	})
	g, err := n.Obtain(context.Background(), "pool", placingJob(0))
	assert.NilError(t, err)
	assert.Equal(t, p.load(), 1)
	p.setFail(nil)
	time.Sleep(askPause + askPause/2) // The longest pause after one loss.
	other, err := n.Obtain(context.Background(), "pool", placingJob(0))
	assert.NilError(t, err)
	assert.Equal(t, p.load(), 2)
	n.Finish(g, place.Outcome{Answered: true, OK: true, First: true})
	n.Finish(other, place.Outcome{Answered: true, OK: true, First: true})
	eventually(t, "load", 0, p.load)
}

// TestPollFails guards against slots that stay taken at the hub: a wait for a decision fails while other news is on its way,
// and what the instance had still to tell is void by then.
func TestPollFails(t *testing.T) {
	p := newPlacing(t, 1)
	n := p.nodes[0].scheduler
	var grants []*Grant
	for range 2 {
		g, err := n.Obtain(context.Background(), "pool", placingJob(3))
		assert.NilError(t, err)
		grants = append(grants, g)
	}
	waits, news := make(chan struct{}), make(chan struct{})
	told := make(chan struct{}, 1)
	p.setFail(func(n hub.News, answer func() hub.Decisions) (hub.Decisions, error) {
		if n.WaitMS > 0 {
			<-waits
			return hub.Decisions{}, errSilentHub
		}
		d := answer()
		if len(n.Ended) > 0 {
			told <- struct{}{}
			<-news
		}
		return d, nil
	})
	third := make(chan *Grant)
	go func() {
		g, err := n.Obtain(context.Background(), "pool", placingJob(3))
		assert.Check(t, err)
		third <- g
	}()
	eventually(t, "waiting requests", 1, p.waits)
	n.Finish(grants[0], place.Outcome{Answered: true, OK: true, First: true})
	<-told
	n.Finish(grants[1], place.Outcome{Answered: true, OK: true, First: true})
	close(waits)
	g := <-third
	p.setFail(nil)
	close(news)
	n.Finish(g, place.Outcome{Answered: true, OK: true, First: true})
	eventually(t, "load", 0, func() int {
		// The next request lets the instance speak to the hub again.
		if g, err := n.Obtain(context.Background(), "pool", placingJob(3)); err == nil {
			n.Finish(g, place.Outcome{Answered: true, OK: true, First: true})
		}
		time.Sleep(5 * time.Millisecond)
		return p.load()
	})
}

// TestAskingEnds guards against requests that wait for a hub to which nothing is sent any more.
func TestAskingEnds(t *testing.T) {
	config := fleet.NewConfig(1, nil, []fleet.Service{{Name: "pool", Engine: true}}, nil, fleet.Limits{})
	v := fleet.NewView().With(fleet.Change{Config: config}).With(fleet.Change{Server: &fleet.Server{ID: "s0", Service: "pool", Slots: 2}})
	s := newScheduler(schedulerConfig{node: "n0", view: func() *fleet.View { return v }})
	a := newAsking(askingConfig{
		node: "n0", scheduler: s, hub: func(time.Time) (fleet.Node, bool) { return fleet.Node{Name: "hub"}, true },
	})
	s.asks = a
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a.run(ctx)
	g, err := s.Obtain(context.Background(), "pool", placingJob(0))
	assert.NilError(t, err)
	assert.Equal(t, g.By, "")
}

// TestCallerLeavesHub guards against requests that go on waiting at the hub, or hold a slot, after their callers left.
func TestCallerLeavesHub(t *testing.T) {
	p := newPlacing(t, 2)
	var grants []*Grant
	for range 2 {
		g, err := p.nodes[0].scheduler.Obtain(context.Background(), "pool", placingJob(3))
		assert.NilError(t, err)
		grants = append(grants, g)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := p.nodes[1].scheduler.Obtain(ctx, "pool", placingJob(3))
		ended <- err
	}()
	eventually(t, "waiting requests", 1, p.waits)
	cancel(errTimeout)
	assert.ErrorIs(t, <-ended, errTimeout)
	eventually(t, "waiting requests", 0, p.waits)
	for _, g := range grants {
		p.nodes[0].scheduler.Finish(g, place.Outcome{Answered: true, OK: true, First: true})
	}
	eventually(t, "load", 0, p.load)
}

// TestHubOutdated guards against a request that goes to a backend server of which the instance knows that it leaves.
func TestHubOutdated(t *testing.T) {
	p := newPlacing(t, 1)
	leaving := *p.view.Servers["s0"]
	leaving.Draining = true
	other := &fleet.Server{ID: "s1", Service: "pool", Slots: 2}
	p.nodes[0].view = p.view.With(fleet.Change{Server: &leaving}).With(fleet.Change{Server: other})
	g, err := p.nodes[0].scheduler.Obtain(context.Background(), "pool", placingJob(0))
	assert.NilError(t, err)
	assert.Equal(t, g.Server.ID, "s1")
	eventually(t, "load", 0, p.load)
}
