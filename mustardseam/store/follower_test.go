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

func (c *changingClient) List(context.Context, time.Duration) ([]Item, int64, error) {
	return nil, c.revision.Add(1), nil
}

func (c *changingClient) Watch(context.Context, int64, time.Duration) ([]Item, int64, error) {
	r := c.revision.Add(1)
	return []Item{{Key: "k", Revision: r}}, r, nil
}

func (c *changingClient) Put(context.Context, string, []byte, int64) (int64, error) { return 0, nil }

// TestPollsAreSpaced guards against a separate call to the store for each change in a series.
func TestPollsAreSpaced(t *testing.T) {
	c := &changingClient{}
	began := time.Now()
	f := NewFollower(FollowerConfig{
		Client: c, IsRelayed: func() bool { return false }, OnChange: func([]Item, bool) {}, OnAvailable: func() {},
		OnUnavailable: func(error) {},
	})
	for c.revision.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	f.Stop()
	<-f.Done()
	limit := int64(time.Since(began)/minPollInterval) + 2
	assert.Assert(t, c.revision.Load() <= limit, "%d calls, at most %d expected", c.revision.Load(), limit)
}
