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
