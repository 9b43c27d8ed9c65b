package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

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

// TestStoppingInstance guards against a hub that forgets, with each report, the requests of an instance that stops, and takes
// all of them in anew with its next message.
func TestStoppingInstance(t *testing.T) {
	p := newPlacing(t, 1)
	g, err := p.nodes[0].scheduler.Obtain(context.Background(), "pool", placingJob(0))
	assert.NilError(t, err)
	assert.Equal(t, g.By, "hub")
	for range 3 {
		p.hub.hear(time.Now(), hearing{
			nodes: []string{"hub"}, stopping: []string{"n0"}, sharers: 1, leads: true, loads: map[string]place.Load{},
		})
		assert.Equal(t, p.load(), 1)
	}
	p.nodes[0].scheduler.Finish(g, place.Outcome{Answered: true, OK: true, First: true})
	eventually(t, "load", 0, p.load)
}

// TestQuietInstance guards against a hub that sends an instance to a backend server that wants nothing from it, against one
// that keeps others from it for that, and against an instance that follows a hub that does not know.
func TestQuietInstance(t *testing.T) {
	p := newPlacing(t, 2)
	first := p.nodes[0].scheduler
	g, err := first.Obtain(context.Background(), "pool", placingJob(0))
	assert.NilError(t, err)
	assert.Equal(t, g.By, "hub")
	first.Finish(g, place.Outcome{Refused: true, Quiet: time.Hour})
	eventually(t, "load", 0, p.load)
	_, err = first.Obtain(context.Background(), "pool", placingJob(0))
	var r *place.Refusal
	assert.Assert(t, errors.As(err, &r), "%v", err)
	assert.Assert(t, r.After > 0)
	g, err = p.nodes[1].scheduler.Obtain(context.Background(), "pool", placingJob(0))
	assert.NilError(t, err)
	p.nodes[1].scheduler.Finish(g, place.Outcome{Answered: true, OK: true})
	svc := p.view.Config.Service("pool")
	assert.Assert(t, first.accept(svc, placingJob(0), hub.Decision{Server: fleet.Incarnation{ID: "s0"}}) == nil)
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
