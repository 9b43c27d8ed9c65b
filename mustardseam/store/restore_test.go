package store

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func item(key, value string, revision int64) Item {
	return Item{Key: key, Value: []byte(value), Revision: revision}
}

// TestRestoredReplica guards against items of an older copy that replace confirmed ones, and against newer items that are not
// taken over because their revisions are lower.
func TestRestoredReplica(t *testing.T) {
	known := []Item{item("same", "v", 3), item("newer", "vv", 9), item("older", "v", 8), item("lost", "v", 7), item("leased", "v", 6)}
	tests := []struct {
		name    string
		key     string
		listed  *Item  // Item of the copy; nil for none.
		changed string // Value of the change right after the restoration; "-" for a deletion, empty for no change.
		value   string // Value in the replica.
		saved   bool
		expect  int64  // Revision that a write must expect.
		later   string // Value after holdTime, empty for none.
	}{
		{"unchanged", "same", &Item{Value: []byte("v"), Revision: 3}, "", "v", true, 3, "v"},
		{"older in the copy", "newer", &Item{Value: []byte("v"), Revision: 2}, "", "vv", false, 2, "v"},
		{"written again before the list", "older", &Item{Value: []byte("vvv"), Revision: 5}, "vvv", "vvv", true, 5, "vvv"},
		{"not in the copy", "lost", nil, "", "v", false, 0, ""},
		{"leased and not in the copy", "leased", nil, "-", "", false, 0, ""},
		{"leased, deleted and in the copy", "leased-gone", &Item{Value: []byte("v"), Revision: 2}, "", "", false, 0, "v"},
		{"leased, deleted and written again", "leased-gone", &Item{Value: []byte("vv"), Revision: 5}, "vv", "vv", true, 5, "vv"},
		{"deleted and in the copy", "gone", &Item{Value: []byte("v"), Revision: 2}, "v", "v", true, 2, "v"},
		{"not known", "unknown", &Item{Value: []byte("v"), Revision: 2}, "v", "v", true, 2, "v"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := NewReplica(testReplicaConfig)
			r.Reset(append([]Item{item("leased-gone", "v", 1), item("gone", "v", 2)}, known...), Position{Era: 1, Revision: 9})
			r.Apply([]Item{{Key: "leased-gone", Revision: 10, Deleted: true}, {Key: "gone", Revision: 11, Deleted: true}}, 11)
			var list []Item
			if test.listed != nil {
				test.listed.Key = test.key
				list = append(list, *test.listed)
			}
			changed := ""
			for _, c := range r.Reset(list, Position{Era: 2, Revision: 5}) {
				if c.Key == test.key {
					changed = string(c.Value)
					if c.Deleted {
						changed = "-"
					}
				}
			}
			assert.Equal(t, changed, test.changed)
			assert.Equal(t, r.Position(), Position{Era: 2, Revision: 5})
			i, saved := r.Item(test.key)
			assert.Equal(t, string(i.Value), test.value)
			assert.Equal(t, saved, test.saved)
			assert.Equal(t, i.Revision, test.expect)
			now := time.Now()
			r.ReleaseHeld(now)
			r.ReleaseHeld(now.Add(holdTime))
			assert.Equal(t, r.Held(), 0)
			i, _ = r.Item(test.key)
			assert.Equal(t, string(i.Value), test.later)
		})
	}
}

// TestWriteAfterRestoration guards against a state that stays held although its writer wrote it again, or deleted it.
func TestWriteAfterRestoration(t *testing.T) {
	r := NewReplica(testReplicaConfig)
	r.Reset([]Item{item("a", "v", 8), item("b", "v", 9), item("leased", "v", 7)}, Position{Era: 1, Revision: 9})
	r.Reset(nil, Position{Era: 2, Revision: 4})
	assert.DeepEqual(t, changedKeys(r.Apply([]Item{item("a", "v", 5), item("leased", "v", 6)}, 6)), []string{"a", "leased"})
	assert.DeepEqual(t, changedKeys(r.Apply([]Item{{Key: "b", Revision: 7, Deleted: true}}, 7)), []string{"-b"})
	assert.Equal(t, r.Held(), 0)
	_, saved := r.Item("a")
	assert.Assert(t, saved)
}

// TestSecondRestoration guards against what was known before the first restoration and is forgotten at the second.
func TestSecondRestoration(t *testing.T) {
	r := NewReplica(testReplicaConfig)
	r.Reset([]Item{item("leased", "v", 3), item("lost", "vv", 8)}, Position{Era: 1, Revision: 8})
	r.Apply([]Item{{Key: "leased", Revision: 9, Deleted: true}}, 9)
	r.Reset(nil, Position{Era: 2, Revision: 2})
	assert.Equal(t, len(r.Reset([]Item{item("leased", "v", 3), item("lost", "v", 4)}, Position{Era: 3, Revision: 5})), 0)
	_, saved := r.Item("leased")
	assert.Assert(t, !saved, "the item was gone before the first restoration")
	i, saved := r.Item("lost")
	assert.Equal(t, string(i.Value), "vv")
	assert.Assert(t, !saved)
}

// TestRelayAfterRestoration guards against instances of two eras that take over each other's revisions.
func TestRelayAfterRestoration(t *testing.T) {
	hub, other := NewReplica(testReplicaConfig), NewReplica(testReplicaConfig)
	for _, r := range []*Replica{hub, other} {
		r.Reset([]Item{item("a", "v", 8), item("lost", "v", 9)}, Position{Era: 1, Revision: 9})
	}
	hub.Reset([]Item{item("a", "v", 3)}, Position{Era: 2, Revision: 4})
	items, whole := other.After(hub.Position())
	assert.Assert(t, !whole && len(items) == 0, "an earlier era has nothing to tell")
	items, whole = hub.After(other.Position())
	assert.Assert(t, whole)
	assert.Equal(t, len(other.Reset(items, hub.Position())), 0)
	i, saved := other.Item("lost")
	assert.Equal(t, string(i.Value), "v")
	assert.Assert(t, !saved, "the store does not have it")
	started := NewReplica(testReplicaConfig)
	started.Reset(items, hub.Position())
	_, saved = started.Item("lost")
	assert.Assert(t, !saved)
	hub.Apply([]Item{item("lost", "v", 5)}, 5)
	items, whole = hub.After(started.Position())
	assert.Assert(t, !whole)
	started.Apply(items, hub.Position().Revision)
	_, saved = started.Item("lost")
	assert.Assert(t, saved)
}

// answer is what a scriptedClient returns.
type answer struct {
	items []Item
	at    Position
	err   error
}

// scriptedClient is a store whose answers a test sets.
type scriptedClient struct {
	mu    sync.Mutex
	list  answer // Guarded by mu, like all fields below.
	watch answer // Returned at once; an empty one waits.
	put   answer
	after []int64 // Revisions from which watches began.
	lists int
}

func (c *scriptedClient) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *scriptedClient) List(context.Context, time.Duration) ([]Item, Position, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists++
	return c.list.items, c.list.at, c.list.err
}

func (c *scriptedClient) Watch(_ context.Context, after int64, _ time.Duration) ([]Item, Position, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.after = append(c.after, after)
	return c.watch.items, c.watch.at, c.watch.err
}

func (c *scriptedClient) Put(context.Context, string, []byte, int64) (Position, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.put.at, c.put.err
}

// newScriptedFollower starts a follower that has the item k at revision 8 of era 1.
func newScriptedFollower(t *testing.T) (*Follower, *scriptedClient) {
	t.Helper()
	c := &scriptedClient{}
	c.list = answer{items: []Item{item("k", "v", 8)}, at: Position{Era: 1, Revision: 9}}
	c.watch = answer{at: Position{Era: 1, Revision: 9}}
	f := NewFollower(FollowerConfig{
		Client: c, ReplicaConfig: testReplicaConfig, IsRelayed: func() bool { return false }, OnChange: func([]Item, bool) {},
		OnAvailable: func() {}, OnUnavailable: func(error) {}, OnListed: func(Position, int) {}, OnEraChanged: func(Position, Position) {},
	})
	t.Cleanup(func() {
		f.Stop()
		<-f.Done()
	})
	waitForPosition(t, f, Position{Era: 1, Revision: 9})
	return f, c
}

func waitForPosition(t *testing.T, f *Follower, at Position) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Position() == at {
			return poll.Success()
		}
		return poll.Continue("position %v, want %v", f.Position(), at)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// TestWatchInLaterEraListsAnew guards against a watch that goes on in a history other than the one that it began in.
func TestWatchInLaterEraListsAnew(t *testing.T) {
	f, c := newScriptedFollower(t)
	c.set(func() {
		c.list = answer{items: []Item{item("k", "vv", 4)}, at: Position{Era: 2, Revision: 5}}
		c.watch = answer{items: []Item{item("x", "v", 10)}, at: Position{Era: 2, Revision: 12}}
	})
	waitForPosition(t, f, Position{Era: 2, Revision: 12})
	i, _, _ := f.Item("k")
	assert.Equal(t, string(i.Value), "vv")
}

// TestLateAnswersAreDropped guards against lists, watches and relayed changes from before the restoration that arrive after it.
func TestLateAnswersAreDropped(t *testing.T) {
	f, c := newScriptedFollower(t)
	f.ApplyRelayed([]Item{item("k", "vv", 4)}, true, Position{}, Position{Era: 2, Revision: 5}, 0)
	assert.Equal(t, f.Position(), Position{Era: 2, Revision: 5})
	f.ApplyRelayed([]Item{item("k", "vvv", 90)}, true, Position{}, Position{Era: 1, Revision: 99}, 0)
	f.ApplyRelayed([]Item{item("k", "vvv", 90)}, false, Position{Era: 1}, Position{Era: 1, Revision: 99}, 0)
	c.set(func() { c.watch = answer{items: []Item{item("k", "vvv", 90)}, at: Position{Era: 1, Revision: 99}} })
	time.Sleep(2 * minRetryDelay)
	c.set(func() {
		c.watch = answer{err: ErrCompacted}
		c.list = answer{items: []Item{item("k", "vvv", 90)}, at: Position{Era: 1, Revision: 99}}
	})
	time.Sleep(2 * minRetryDelay)
	assert.Equal(t, f.Position(), Position{Era: 2, Revision: 5})
	i, _, _ := f.Item("k")
	assert.Equal(t, string(i.Value), "vv")
	f.ApplyRelayed([]Item{item("k", "vvv", 6)}, false, Position{Revision: 5}, Position{Revision: 6}, 0)
	assert.Equal(t, f.Position(), Position{Era: 2, Revision: 6}, "an instance that names no era")
}

// TestConditionalWriteAcrossEras guards against a write on the condition of a revision that was given out again.
func TestConditionalWriteAcrossEras(t *testing.T) {
	f, c := newScriptedFollower(t)
	_, expect, saved := f.Item("k")
	assert.Assert(t, saved)
	c.set(func() { c.put = answer{at: Position{Era: 2, Revision: 10}} })
	assert.Assert(t, errors.Is(f.Put(t.Context(), "k", []byte("vv"), expect), ErrConflict))
	i, _, _ := f.Item("k")
	assert.Equal(t, string(i.Value), "v", "the write is not known to be in force")
	f.ApplyRelayed([]Item{item("k", "vvv", 8)}, true, Position{}, Position{Era: 2, Revision: 9}, 0)
	c.set(func() { c.put = answer{at: Position{Era: 2, Revision: 11}} })
	assert.Assert(t, errors.Is(f.Put(t.Context(), "k", []byte("vv"), expect), ErrConflict))
	_, expect, _ = f.Item("k")
	assert.Equal(t, expect, Position{Era: 2, Revision: 8})
	assert.NilError(t, f.Put(t.Context(), "k", []byte("vv"), expect))
}
