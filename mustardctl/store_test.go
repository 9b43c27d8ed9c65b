package main

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/etcd"
	"github.com/mustardseam/mustardseam/mustardseam/revision"
)

// fakeStore is a store in memory with faults on request.
type fakeStore struct {
	values   map[string]etcd.KeyValue
	revision int64

	beforeHead func() // Called once before the next write of the head.
	loseAnswer bool   // Of the next write of the head, after its effect.
	down       bool
	downAfter  bool // Goes down with the next lost answer.
	onList     func()
}

func (f *fakeStore) Get(_ context.Context, key string) (etcd.KeyValue, bool, error) {
	if f.down {
		return etcd.KeyValue{}, false, etcd.ErrOutcomeUnknown
	}
	kv, ok := f.values[key]
	return kv, ok, nil
}

func (f *fakeStore) List(_ context.Context, prefix string) ([]etcd.KeyValue, error) {
	if f.onList != nil {
		f.onList()
	}
	if f.down {
		return nil, etcd.ErrOutcomeUnknown
	}
	var list []etcd.KeyValue
	for key, kv := range f.values {
		if strings.HasPrefix(key, prefix) {
			list = append(list, kv)
		}
	}
	slices.SortFunc(list, func(a, b etcd.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return list, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, last int64) (int64, bool, error) {
	if f.down {
		return 0, false, etcd.ErrUnavailable
	}
	if before := f.beforeHead; key == revision.HeadKey && before != nil {
		f.beforeHead = nil
		before()
	}
	if f.values[key].ModRevision != last {
		return 0, false, nil
	}
	f.put(key, value)
	if key == revision.HeadKey && f.loseAnswer {
		f.loseAnswer, f.down = false, f.downAfter
		return 0, false, etcd.ErrOutcomeUnknown
	}
	return f.revision, true, nil
}

func (f *fakeStore) put(key string, value []byte) {
	f.revision++
	f.values[key] = etcd.KeyValue{Key: key, Value: value, ModRevision: f.revision}
}

// fakeStates holds states by admin address.
type fakeStates map[string]state

func (f fakeStates) State(_ context.Context, admin string) (state, error) {
	if s, ok := f[admin]; ok {
		return s, nil
	}
	return nil, etcd.ErrUnavailable
}

// site is a store and instances that a test's operators share.
type site struct {
	store  *fakeStore
	states fakeStates
	ctx    context.Context
}

func newSite(t *testing.T) *site {
	t.Setenv("MUSTARDCTL_CONFIG", "")
	t.Setenv("USER", "amal")
	return &site{store: &fakeStore{values: map[string]etcd.KeyValue{}}, states: fakeStates{}, ctx: t.Context()}
}

// run executes a command line and returns its exit code and what it wrote.
func (s *site) run(in string, args ...string) (code int, out, errText string) {
	var stdout, stderr bytes.Buffer
	std := stdio{in: strings.NewReader(in), out: &stdout, err: &stderr}
	w := world{store: s.store, states: s.states, now: func() time.Time { return testStart }, pause: s.pause}
	code = run(s.ctx, args, std, func(settings) world { return w })
	return code, stdout.String(), stderr.String()
}

// pause ends a command that waits for a store that stays down, as its timeout would.
func (s *site) pause(ctx context.Context, _ time.Duration) error {
	if s.store.down && s.store.onList == nil {
		return context.DeadlineExceeded
	}
	return ctx.Err()
}
