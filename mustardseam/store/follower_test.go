package store

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// busyClient has a change for each call.
type busyClient struct{ revision atomic.Int64 }

func (c *busyClient) List(context.Context, time.Duration) ([]Item, int64, error) {
	return nil, c.revision.Add(1), nil
}

func (c *busyClient) Watch(context.Context, int64, time.Duration) ([]Item, int64, error) {
	r := c.revision.Add(1)
	return []Item{{Key: "k", Revision: r}}, r, nil
}

func (c *busyClient) Put(context.Context, string, []byte, int64) (int64, error) { return 0, nil }

// TestSpacing guards against a call of the store for each change of a series.
func TestSpacing(t *testing.T) {
	c := &busyClient{}
	began := time.Now()
	f := NewFollower(FollowerConfig{
		Client: c, Relayed: func() bool { return false }, Changed: func([]Item, bool) {}, Reached: func() {}, Lost: func(error) {},
	})
	for c.revision.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	f.Stop()
	<-f.Done()
	most := int64(time.Since(began)/spacing) + 2
	assert.Assert(t, c.revision.Load() <= most, "%d calls, at most %d expected", c.revision.Load(), most)
}
