package outage

import (
	"context"
	"math/rand/v2"

	"github.com/mustardseam/mustardseam/measure/clock"
	"github.com/mustardseam/mustardseam/mustardseam/etcd"
)

// store is the platform's store: keys with the revision of their last write.
type store struct {
	clock *clock.Clock
	rnd   *rand.Rand
	keys  map[string]item
	mod   int64
	down  bool
	lost  float64 // Share of writes whose answer is lost.
}

type item struct {
	value any
	mod   int64
}

// swap writes the key if its revision is last.
func (s *store) swap(key string, value any, last int64) (int64, bool) {
	if s.keys[key].mod != last {
		return 0, false
	}
	s.mod++
	s.keys[key] = item{value, s.mod}
	return s.mod, true
}

// call carries out do at the store and then its answer here, or lost after the time limit. A call that is lost may have
// taken effect.
func (s *store) call(write bool, do func() (answer func()), lost func()) {
	if s.down {
		s.clock.After(storeWait, lost)
		return
	}
	loses := write && s.rnd.Float64() < s.lost
	s.clock.After(toStore, func() {
		if s.down {
			s.clock.After(storeWait, lost)
			return
		}
		answer := do()
		if loses {
			s.clock.After(storeWait, lost)
			return
		}
		s.clock.After(toStore, answer)
	})
}

// Get reads a key at once; it serves revision.Store.
func (s *store) Get(_ context.Context, key string) (etcd.KeyValue, bool, error) {
	if s.down {
		return etcd.KeyValue{}, false, etcd.ErrOutcomeUnknown
	}
	it, ok := s.keys[key]
	if !ok {
		return etcd.KeyValue{}, false, nil
	}
	return etcd.KeyValue{Key: key, Value: it.value.([]byte), ModRevision: it.mod}, true, nil
}

// CompareAndSwap writes a key at once, and the answer may be lost; it serves revision.Store.
func (s *store) CompareAndSwap(_ context.Context, key string, value []byte, last int64) (int64, bool, error) {
	if s.down {
		return 0, false, etcd.ErrOutcomeUnknown
	}
	mod, ok := s.swap(key, value, last)
	if s.rnd.Float64() < s.lost {
		return 0, false, etcd.ErrOutcomeUnknown
	}
	return mod, ok, nil
}
