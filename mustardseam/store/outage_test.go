package store

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// brokenClient is a store that fails every call.
type brokenClient struct {
	pages chan time.Duration // Page timeout of each list; nil if they are not recorded.
}

var errBroken = errors.New("store does not answer")

func (c *brokenClient) List(_ context.Context, page time.Duration) ([]Item, Position, error) {
	if c.pages != nil {
		c.pages <- page
	}
	return nil, Position{}, errBroken
}

func (c *brokenClient) Watch(context.Context, int64, time.Duration) ([]Item, Position, error) {
	return nil, Position{}, errBroken
}

func (c *brokenClient) Put(context.Context, string, []byte, int64) (Position, error) {
	return Position{}, errBroken
}

// relayedFollower is a follower whose own calls fail and whose changes are relayed.
type relayedFollower struct {
	*Follower
	mayReturn []bool // Of each change, in order.
	available int    // How often the store was reported as available again.
}

func newRelayedFollower(t *testing.T) *relayedFollower {
	t.Helper()
	r := &relayedFollower{}
	r.Follower = NewFollower(FollowerConfig{
		Client: &brokenClient{}, ReplicaConfig: testReplicaConfig, IsRelayed: func() bool { return true },
		OnChange:    func(_ []Item, mayReturn bool) { r.mayReturn = append(r.mayReturn, mayReturn) },
		OnAvailable: func() { r.available++ }, OnUnavailable: func(error) {}, OnListed: func(Position, int) {},
		OnEraChanged: func(Position, Position) {},
	})
	t.Cleanup(func() {
		r.Stop()
		<-r.Done()
	})
	r.ApplyRelayed([]Item{item("k", "v", 1)}, true, Position{}, Position{Era: 1, Revision: 1}, time.Hour)
	r.mayReturn = nil
	return r
}

// relay applies a relayed response of the store of the given age that adds an item and one that removes it.
func (r *relayedFollower) relay(age time.Duration) {
	for _, deleted := range []bool{false, true} {
		from := r.Position()
		to := Position{Era: from.Era, Revision: from.Revision + 1}
		r.ApplyRelayed([]Item{{Key: "s", Value: []byte("v"), Revision: to.Revision, Deleted: deleted}}, false, from, to, age)
	}
}

// TestRelayedAnswerEndsOutage guards against removals that count as lapses long after an outage, at instances that get
// relayed changes and make no calls of their own.
func TestRelayedAnswerEndsOutage(t *testing.T) {
	tests := []struct {
		name      string
		failed    time.Duration // Time since the start of the failed call.
		age       time.Duration // Age of the relayed response.
		mayReturn bool
		available int
	}{
		{"answer before the failure", 5 * time.Second, 6 * time.Second, true, 0},
		{"answer right after the failure", time.Second, 0, true, 1},
		{"answer long after the failure", 5 * time.Second, 0, false, 1},
		{"answer soon after the failure, told late", 5 * time.Second, 4 * time.Second, false, 1},
		{"no failure", 0, 0, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRelayedFollower(t)
			if test.failed > 0 {
				r.markUnavailable(time.Now().Add(-test.failed), errBroken)
			}
			r.relay(test.age)
			assert.DeepEqual(t, r.mayReturn, []bool{test.mayReturn, test.mayReturn})
			assert.Equal(t, r.available, test.available)
		})
	}
}

// TestFailedCallAfterRelayedAnswer guards against a call that hung in an outage and ends after it, and starts the outage anew.
func TestFailedCallAfterRelayedAnswer(t *testing.T) {
	r := newRelayedFollower(t)
	r.relay(time.Second)
	r.markUnavailable(time.Now().Add(-2*time.Second), errBroken)
	r.relay(0)
	assert.DeepEqual(t, r.mayReturn, []bool{false, false, false, false})
	r.markUnavailable(time.Now(), errBroken)
	r.relay(time.Minute)
	assert.DeepEqual(t, r.mayReturn[4:], []bool{true, true})
}

// TestOutageEndsWithOwnAnswer guards against lapses that count as removals right after an outage, and the reverse later.
func TestOutageEndsWithOwnAnswer(t *testing.T) {
	var got []bool
	for _, failed := range []time.Duration{time.Second, lapseWindow + time.Second} {
		r := newRelayedFollower(t)
		r.markUnavailable(time.Now().Add(-failed), errBroken)
		r.markAvailable()
		r.relay(time.Minute)
		got = append(got, r.mayReturn...)
	}
	assert.DeepEqual(t, got, []bool{true, true, false, false})
}

// TestRelayEndsSeriesOfFailures guards against the long delays of an earlier outage at the first failed call long after it.
func TestRelayEndsSeriesOfFailures(t *testing.T) {
	c := &brokenClient{pages: make(chan time.Duration, 8)}
	relayed := false
	f := NewFollower(FollowerConfig{
		Client: c, ReplicaConfig: testReplicaConfig, OnChange: func([]Item, bool) {}, OnAvailable: func() {},
		OnUnavailable: func(error) {}, OnListed: func(Position, int) {}, OnEraChanged: func(Position, Position) {},
		IsRelayed: func() bool { // Called on the goroutine of the calls.
			if relayed || len(c.pages) != 3 {
				return false
			}
			relayed = true
			return true
		},
	})
	t.Cleanup(func() {
		f.Stop()
		<-f.Done()
	})
	for len(c.pages) < 4 {
		time.Sleep(time.Millisecond)
	}
	// The fourth call would be the second of its kind in a series of failures.
	for _, want := range []time.Duration{pageTimeout, slowResponseTimeout, pageTimeout, pageTimeout} {
		assert.Equal(t, <-c.pages, want)
	}
}
