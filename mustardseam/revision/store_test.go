package revision

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/etcd"
	"github.com/mustardseam/mustardseam/operator"
)

// fault is what happens to one call of the fake store.
type fault int

const (
	none     fault = iota
	down           // Refused, no effect.
	dropped        // Lost before it had an effect.
	lost           // The answer is lost after the effect.
	late           // No answer; a write takes effect before the next but one call.
	faulting       // The number of kinds.
)

// fakeStore is a store in memory whose calls fail by plan, one fault each; later calls succeed.
type fakeStore struct {
	values map[string]etcd.KeyValue
	mod    int64
	faults []fault
	before func(call int) // Runs before each call, for races.
	calls  int
	queued []func()
}

func newStore(faults ...fault) *fakeStore {
	return &fakeStore{values: map[string]etcd.KeyValue{}, faults: faults}
}

// next returns the fault of a call, after late writes have taken effect.
func (s *fakeStore) next() fault {
	call := s.calls
	s.calls++
	if s.before != nil {
		s.before(call)
	}
	if call%2 == 0 {
		s.flush()
	}
	if len(s.faults) == 0 {
		return none
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

func (s *fakeStore) flush() {
	for _, write := range s.queued {
		write()
	}
	s.queued = nil
}

func (s *fakeStore) Get(_ context.Context, key string) (etcd.KeyValue, bool, error) {
	switch s.next() {
	case none:
		kv, ok := s.values[key]
		return kv, ok, nil
	case down:
		return etcd.KeyValue{}, false, etcd.ErrUnavailable
	}
	return etcd.KeyValue{}, false, etcd.ErrUnanswered
}

func (s *fakeStore) Swap(_ context.Context, key string, value []byte, last int64) (int64, bool, error) {
	write := func() bool {
		if s.values[key].ModRevision != last {
			return false
		}
		s.mod++
		s.values[key] = etcd.KeyValue{Key: key, Value: value, ModRevision: s.mod}
		return true
	}
	switch s.next() {
	case down:
		return 0, false, etcd.ErrUnavailable
	case dropped:
	case lost:
		write()
	case late:
		s.queued = append(s.queued, func() { write() })
	default:
		ok := write()
		return s.mod, ok, nil
	}
	return 0, false, etcd.ErrUnanswered
}

// head returns the head as it stands.
func (s *fakeStore) head() Head {
	h, err := ParseHead(s.values[HeadKey].Value)
	if err != nil && len(s.values[HeadKey].Value) > 0 {
		panic(err)
	}
	return h
}

var ctx = context.Background()

// document returns a valid document of n backend servers with a route; note tells documents apart.
func document(servers int, note float64) operator.Document {
	d := operator.New().
		WithTier(operator.Tier{Name: "counter"}).
		WithTeam(operator.Team{Name: "team", Weight: 1 + note, Tiers: []string{"counter"}}).
		WithDataCentre(operator.DataCentre{Name: "d1", Region: "r"}).
		WithPool(operator.Pool{Name: "p", Kind: operator.Engines, MaxWaiting: 10})
	for i := range servers {
		d.BackendServers = append(d.BackendServers, operator.BackendServer{
			Name: fmt.Sprintf("engine-%04d", i), Pool: "p", DataCentre: "d1", Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			Hardware: fmt.Sprintf("generation-%d", i%4), Version: fmt.Sprintf("v%d", 1+i%2), Limit: 64, ColdLimit: 4,
		})
	}
	return d.WithRoute(operator.Route{Name: "m", Pool: "p", Version: "v1"})
}

func submission(id string, base uint64, d operator.Document) Submission {
	return Submission{ID: id, Author: "operator", Base: base, Document: d, At: time.Unix(1_700_000_000, 0).UTC()}
}

// kind names the error of a submission.
func kind(err error) string {
	var conflict *ConflictError
	var forgotten *ForgottenError
	var reused *ReusedError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &forgotten):
		return "forgotten"
	case errors.As(err, &reused):
		return "reused"
	case errors.Is(err, etcd.ErrUnanswered):
		return "unknown"
	case errors.Is(err, etcd.ErrUnavailable):
		return "no effect"
	}
	return err.Error()
}
