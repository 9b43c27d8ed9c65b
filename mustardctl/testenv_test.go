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

// fakeStore is an in-memory store with fault injection.
type fakeStore struct {
	values   map[string]etcd.KeyValue
	revision int64

	beforeHeadWrite       func() // Called once, before the next write of the head.
	loseResponse          bool   // The next write of the head takes effect but returns ErrOutcomeUnknown.
	down                  bool
	downAfterLostResponse bool   // The store goes down with the next lost response.
	delayHeadWrite        bool   // The next write of the head gets ErrOutcomeUnknown and takes no effect yet; the store goes down.
	onList                func() // Called at the start of each List.
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
	if before := f.beforeHeadWrite; key == revision.HeadKey && before != nil {
		f.beforeHeadWrite = nil
		before()
	}
	if key == revision.HeadKey && f.delayHeadWrite {
		f.delayHeadWrite, f.down = false, true
		return 0, false, etcd.ErrOutcomeUnknown
	}
	if f.values[key].ModRevision != last {
		return 0, false, nil
	}
	f.put(key, value)
	if key == revision.HeadKey && f.loseResponse {
		f.loseResponse, f.down = false, f.downAfterLostResponse
		return 0, false, etcd.ErrOutcomeUnknown
	}
	return f.revision, true, nil
}

func (f *fakeStore) put(key string, value []byte) {
	f.revision++
	f.values[key] = etcd.KeyValue{Key: key, Value: value, ModRevision: f.revision}
}

// fakeStateReader holds states by admin address.
type fakeStateReader map[string]state

func (f fakeStateReader) State(_ context.Context, admin string) (state, error) {
	if s, ok := f[admin]; ok {
		return s, nil
	}
	return nil, etcd.ErrUnavailable
}

// testEnv holds the store and the instances that the commands of a test share.
type testEnv struct {
	store  *fakeStore
	states fakeStateReader
	ctx    context.Context
	// beforeSleep is called at the start of each pause between two attempts; nil for nothing.
	beforeSleep func()
}

func newTestEnv(t *testing.T) *testEnv {
	t.Setenv("MUSTARDCTL_CONFIG", "")
	t.Setenv("USER", "amal")
	return &testEnv{store: &fakeStore{values: map[string]etcd.KeyValue{}}, states: fakeStateReader{}, ctx: t.Context()}
}

// run executes a command line and returns its exit code, standard output and standard error.
func (s *testEnv) run(in string, args ...string) (code int, out, errText string) {
	var stdout, stderr bytes.Buffer
	std := stdio{in: strings.NewReader(in), out: &stdout, err: &stderr}
	deps := dependencies{store: s.store, states: s.states, now: func() time.Time { return testStart }, sleep: s.sleep}
	code = run(s.ctx, args, std, func(settings) dependencies { return deps })
	return code, stdout.String(), stderr.String()
}

// sleep returns an error while the store is down, as if the timeout of the command had expired. With onList set it does
// not, so that a test can bring the store up again.
func (s *testEnv) sleep(ctx context.Context, _ time.Duration) error {
	if s.beforeSleep != nil {
		s.beforeSleep()
	}
	if s.store.down && s.store.onList == nil {
		return context.DeadlineExceeded
	}
	return ctx.Err()
}
