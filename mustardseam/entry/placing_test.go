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
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

var errSilentHub = errors.New("no answer")

// placing is a hub and instances that ask it, without a network.
type placing struct {
	hub   *Scheduler
	nodes []*placingNode
	view  *fleet.View

	mu   sync.Mutex
	fail func(n hub.News, answer func() hub.Decisions) (hub.Decisions, error) // Replaces the way to the hub; guarded by mu.
}

type placingNode struct {
	scheduler *Scheduler
	asking    *asking
	view      *fleet.View // Its own; that of all when nil.
}

// newPlacing starts instances before one engine with two slots.
func newPlacing(t *testing.T, nodes int) *placing {
	t.Helper()
	config := fleet.NewConfig(1, nil, []fleet.Service{{Name: "pool", Engine: true, Stride: 4}}, nil, fleet.Limits{})
	p := &placing{view: fleet.NewView().With(fleet.Change{Config: config}).
		With(fleet.Change{Server: &fleet.Server{ID: "s0", Service: "pool", Slots: 2}})}
	p.hub = newScheduler(schedulerConfig{node: "hub", view: func() *fleet.View { return p.view }})
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	log := zerolog.New(io.Discard)
	names := []string{"hub"}
	for i := range nodes {
		n := &placingNode{}
		n.scheduler = newScheduler(schedulerConfig{node: fmt.Sprintf("n%d", i), view: func() *fleet.View {
			if n.view != nil {
				return n.view
			}
			return p.view
		}})
		n.asking = newAsking(askingConfig{
			node: fmt.Sprintf("n%d", i), run: int64(i + 1), scheduler: n.scheduler, place: p.place, log: &log,
			hub: func(time.Time) (fleet.Node, bool) { return fleet.Node{Name: "hub", Address: "hub"}, true },
		})
		n.scheduler.asks = n.asking
		ended.Go(func() { n.asking.run(ctx) })
		p.nodes = append(p.nodes, n)
		names = append(names, fmt.Sprintf("n%d", i))
	}
	for _, s := range append([]*Scheduler{p.hub}, p.schedulers()...) {
		s.hear(time.Now(), hearing{nodes: names, sharers: len(names), leads: true, loads: map[string]place.Load{}})
	}
	t.Cleanup(func() {
		cancel()
		ended.Wait()
	})
	return p
}

func (p *placing) schedulers() (list []*Scheduler) {
	for _, n := range p.nodes {
		list = append(list, n.scheduler)
	}
	return list
}

// place is the way to the hub.
func (p *placing) place(_ string, n hub.News) (hub.Decisions, error) {
	p.mu.Lock()
	fail := p.fail
	p.mu.Unlock()
	if fail != nil {
		return fail(n, func() hub.Decisions { return p.hub.Serve(n, 1) })
	}
	return p.hub.Serve(n, 1), nil
}

// setFail replaces the way to the hub; nil restores it.
func (p *placing) setFail(f func(n hub.News, answer func() hub.Decisions) (hub.Decisions, error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fail = f
}

// load returns what the hub knows to be at the engine.
func (p *placing) load() int {
	p.hub.mu.Lock()
	defer p.hub.mu.Unlock()
	return p.hub.board.Load(p.view.Servers["s0"]).Requests
}

// waits returns the number of requests that wait at the hub.
func (p *placing) waits() int { return p.hub.Waiting() }

func placingJob(tier int) *place.Job {
	now := time.Now()
	return &place.Job{
		Route: "r", Tier: tier, Rank: tier, Prompt: 1000, Output: 100, Arrived: now, Objective: now.Add(time.Minute),
		Deadline: now.Add(time.Hour),
	}
}

// eventually waits until a value is reached.
func eventually(t *testing.T, what string, want int, get func() int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := get(); got != want {
			return poll.Continue("%s: %d, want %d", what, got, want)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
}

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
	time.Sleep(askPause)
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

// TestClientGone guards against slots and places in the queue that an instance keeps after it was lost or has left the hub.
func TestClientGone(t *testing.T) {
	tests := []struct {
		name  string
		leave func(p *placing)
	}{
		{"does not report any more", func(p *placing) {
			p.hub.hear(time.Now(), hearing{nodes: []string{"hub"}, sharers: 1, leads: true, loads: map[string]place.Load{}})
		}},
		{"places its requests itself", func(p *placing) { p.hub.leave("n0") }},
		{"another instance is the hub", func(p *placing) {
			p.hub.hear(time.Now(), hearing{nodes: []string{"hub", "n0"}, sharers: 2, loads: map[string]place.Load{}})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPlacing(t, 1)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for range 3 {
				go func() { _, _ = p.nodes[0].scheduler.Obtain(ctx, "pool", placingJob(3)) }()
			}
			eventually(t, "load", 2, p.load)
			eventually(t, "waiting requests", 1, p.waits)
			p.setFail(func(hub.News, func() hub.Decisions) (hub.Decisions, error) { return hub.Decisions{}, errSilentHub })
			time.Sleep(2 * askWait) // Messages on their way arrive before.
			test.leave(p)
			assert.Equal(t, p.load(), 0)
			assert.Equal(t, p.waits(), 0)
		})
	}
}

// TestOvertaken guards against a late message that undoes what a later one said, and against the run of an instance that
// has ended.
func TestOvertaken(t *testing.T) {
	p := newPlacing(t, 0)
	running := []hub.Running{{ID: 1, Server: fleet.Incarnation{ID: "s0"}, Route: "r"}}
	assert.Assert(t, p.hub.Serve(hub.News{Node: "n0", Run: 7, Sequence: 2, Fresh: true, Running: running}, 1).Known)
	assert.Assert(t, p.hub.Serve(hub.News{Node: "n0", Run: 7, Sequence: 3, Ended: []hub.Ended{{ID: 1}}}, 1).Known)
	assert.Equal(t, p.load(), 0)
	assert.Assert(t, !p.hub.Serve(hub.News{Node: "n0", Run: 7, Sequence: 2, Fresh: true, Running: running}, 1).Known)
	assert.Equal(t, p.load(), 0)
	assert.Assert(t, !p.hub.Serve(hub.News{Node: "n0", Run: 6, Sequence: 4, Running: running}, 1).Known)
	assert.Equal(t, p.load(), 0)
}

// TestHubOverloaded guards against a hub whose processor is used up by the requests of others.
func TestHubOverloaded(t *testing.T) {
	p := newPlacing(t, 0)
	n := hub.News{Node: "n0", Run: 1, Fresh: true}
	served := 0
	for i := range int64(2 * messagesPerCore) {
		n.Sequence = i + 1
		if p.hub.Serve(n, 0.1).Known {
			served++
		}
	}
	assert.Assert(t, served < messagesPerCore, "%d messages", served)
	assert.Equal(t, len(p.hub.desk.clients), 0)
}

// TestLockOrder guards against an instance that locks up: the end of a request is told while the scheduler is locked, and
// the exchange of reports locks the scheduler, so news must not wait for that exchange with a lock held.
func TestLockOrder(t *testing.T) {
	hold, asked := make(chan struct{}), make(chan struct{}, 2)
	s := newScheduler(schedulerConfig{node: "n0", view: fleet.NewView})
	a := newAsking(askingConfig{node: "n0", scheduler: s, hub: func(time.Time) (fleet.Node, bool) {
		asked <- struct{}{}
		<-hold
		return fleet.Node{}, false
	}})
	for _, f := range []func(){func() { a.open() }, func() { a.send() }} {
		go f()
		<-asked
	}
	told := make(chan struct{})
	go func() {
		a.Ended(&Grant{id: 1}, place.Outcome{})
		close(told)
	}()
	select {
	case <-told:
	case <-time.After(10 * time.Second):
		t.Error("the end of a request cannot be told")
	}
	close(hold)
}
