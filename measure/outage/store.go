package outage

import (
	"context"
	"math/rand/v2"

	"github.com/mustardseam/mustardseam/measure/clock"
	"github.com/mustardseam/mustardseam/mustardseam/etcd"
)

// store simulates the platform's store: keys with the revision of their last write.
type store struct {
	clock     *clock.Clock
	rnd       *rand.Rand
	keys      map[string]item
	mod       int64
	down      bool
	lostShare float64 // Fraction of writes whose response is lost.
}

type item struct {
	value any
	mod   int64
}

// swap writes the key if its revision equals expectedMod, and returns the new revision.
func (s *store) swap(key string, value any, expectedMod int64) (int64, bool) {
	if s.keys[key].mod != expectedMod {
		return 0, false
	}
	s.mod++
	s.keys[key] = item{value, s.mod}
	return s.mod, true
}

// call executes do at the store and then the answer function at the caller, or lost after storeTimeout. A lost call may
// have taken effect.
func (s *store) call(write bool, do func() (answer func()), lost func()) {
	if s.down {
		s.clock.After(storeTimeout, lost)
		return
	}
	answerLost := write && s.rnd.Float64() < s.lostShare
	s.clock.After(storeDelay, func() {
		if s.down {
			s.clock.After(storeTimeout, lost)
			return
		}
		answer := do()
		if answerLost {
			s.clock.After(storeTimeout, lost)
			return
		}
		s.clock.After(storeDelay, answer)
	})
}

// Get reads a key without delay. It implements revision.Store.
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

// CompareAndSwap writes a key without delay; the response may be lost. It implements revision.Store.
func (s *store) CompareAndSwap(_ context.Context, key string, value []byte, expectedMod int64) (int64, bool, error) {
	if s.down {
		return 0, false, etcd.ErrOutcomeUnknown
	}
	mod, ok := s.swap(key, value, expectedMod)
	if s.rnd.Float64() < s.lostShare {
		return 0, false, etcd.ErrOutcomeUnknown
	}
	return mod, ok, nil
}
