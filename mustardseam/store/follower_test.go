package store

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// changingClient returns a change from each call at once.
type changingClient struct{ revision atomic.Int64 }

func (c *changingClient) List(context.Context, time.Duration) ([]Item, Position, error) {
	return nil, Position{Revision: c.revision.Add(1)}, nil
}

func (c *changingClient) Watch(context.Context, int64, time.Duration) ([]Item, Position, error) {
	r := c.revision.Add(1)
	return []Item{{Key: "k", Revision: r}}, Position{Revision: r}, nil
}

func (c *changingClient) Put(context.Context, string, []byte, int64) (Position, error) {
	return Position{}, nil
}

// TestPollsAreSpaced guards against a separate call to the store for each change in a series.
func TestPollsAreSpaced(t *testing.T) {
	c := &changingClient{}
	began := time.Now()
	f := NewFollower(FollowerConfig{
		Client: c, ReplicaConfig: testReplicaConfig, IsRelayed: func() bool { return false }, OnChange: func([]Item, bool) {}, OnAvailable: func() {},
		OnUnavailable: func(error) {}, OnListed: func(Position, int) {}, OnEraChanged: func(Position, Position) {},
	})
	for c.revision.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	f.Stop()
	<-f.Done()
	limit := int64(time.Since(began)/minPollInterval) + 2
	assert.Assert(t, c.revision.Load() <= limit, "%d calls, at most %d expected", c.revision.Load(), limit)
}
