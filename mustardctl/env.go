package main

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/etcd"
	"github.com/mustardseam/mustardseam/mustardseam/revision"
)

// store is the part of the store's interface that commands use.
type store interface {
	revision.Store
	List(ctx context.Context, prefix string) ([]etcd.KeyValue, error)
}

// stateReader reads the state of an instance.
type stateReader interface {
	State(ctx context.Context, admin string) (state, error)
}

// dependencies holds the clients, clock and sleep function that commands use; tests replace them.
type dependencies struct {
	store  store
	states stateReader
	now    func() time.Time
	sleep  func(ctx context.Context, d time.Duration) error // Returns an error when the context is done first.
}

// dialer returns clients for the addresses in the settings.
type dialer func(cfg settings) dependencies

// env holds the dependencies, settings and streams of a command.
type env struct {
	dependencies
	cfg settings
	std stdio
}

func newEnv(std stdio, cfg settings, dial dialer) *env {
	return &env{dependencies: dial(cfg), cfg: cfg, std: std}
}

// callsPerTimeout is the number of sequential store calls that fit in the timeout of a command, so that the outcome of
// a write whose response was lost can still be read.
const callsPerTimeout = 4

func connect(cfg settings) dependencies {
	deps := dependencies{store: unconfiguredStore{}, states: httpStateReader{}, now: time.Now, sleep: sleep}
	if len(cfg.Store) > 0 {
		deps.store = etcd.New(etcd.Config{
			Addresses: cfg.Store, Prefix: cfg.Prefix, Timeout: cfg.Timeout / callsPerTimeout,
		})
	}
	return deps
}

// sleep waits for d or until the context is done.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unconfiguredStore is used when no store address is configured; every call returns errNoStore.
type unconfiguredStore struct{}

var errNoStore = eris.New("no store address; use --store ADDRESS or the settings file")

func (unconfiguredStore) Get(context.Context, string) (etcd.KeyValue, bool, error) {
	return etcd.KeyValue{}, false, errNoStore
}

func (unconfiguredStore) CompareAndSwap(context.Context, string, []byte, int64) (int64, bool, error) {
	return 0, false, errNoStore
}

func (unconfiguredStore) List(context.Context, string) ([]etcd.KeyValue, error) {
	return nil, errNoStore
}

// print writes a result in the configured output format.
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
