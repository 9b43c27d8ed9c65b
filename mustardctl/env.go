package main

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/etcd"
	"github.com/mustardseam/mustardseam/mustardseam/revision"
)

// store is what commands need of the platform's store.
type store interface {
	revision.Store
	List(ctx context.Context, prefix string) ([]etcd.KeyValue, error)
}

// states reads the state of an instance.
type states interface {
	State(ctx context.Context, admin string) (state, error)
}

// world is what commands reach outside of their process.
type world struct {
	store  store
	states states
	now    func() time.Time
	pause  func(ctx context.Context, d time.Duration) error // Fails when the context is done first.
}

// dialer returns the connections that the settings name.
type dialer func(cfg settings) world

// env is what the commands share.
type env struct {
	world
	cfg settings
	std stdio
}

func newEnv(std stdio, cfg settings, dial dialer) *env {
	return &env{world: dial(cfg), cfg: cfg, std: std}
}

// callsPerTimeout is how many calls to the store fit in the timeout of a command, so that a lost answer can be read
// back in time.
const callsPerTimeout = 4

func connect(cfg settings) world {
	w := world{store: noStore{}, states: httpStates{}, now: time.Now, pause: pause}
	if len(cfg.Store) > 0 {
		w.store = etcd.New(etcd.Config{
			Addresses: cfg.Store, Prefix: cfg.Prefix, Timeout: cfg.Timeout / callsPerTimeout,
		})
	}
	return w
}

// pause waits for d or until the context is done.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// noStore stands for a store without an address.
type noStore struct{}

var errNoStore = eris.New("no store address; use --store ADDRESS or the settings file")

func (noStore) Get(context.Context, string) (etcd.KeyValue, bool, error) {
	return etcd.KeyValue{}, false, errNoStore
}

func (noStore) CompareAndSwap(context.Context, string, []byte, int64) (int64, bool, error) {
	return 0, false, errNoStore
}

func (noStore) List(context.Context, string) ([]etcd.KeyValue, error) { return nil, errNoStore }

// print writes a result in the chosen format.
func (e *env) print(r result) error {
	if e.cfg.Output != outputJSON {
		return writeTable(e.std.out, r)
	}
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "print result")
	}
	_, err = e.std.out.Write(append(b, '\n'))
	return eris.Wrap(err, "print result")
}
