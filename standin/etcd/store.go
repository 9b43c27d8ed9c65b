package etcd

import (
	"bytes"
	"slices"
	"sync"
	"time"
)

const (
	// maxLog bounds the changes that a late watch can still read.
	maxLog = 1 << 14
	// maxValue bounds a value in bytes, as the platform does.
	maxValue = 1 << 20
)

// Store is the key-value store; its methods are safe for concurrent use.
type Store struct {
	mu        sync.Mutex // Guards all that follows.
	faults    Faults
	revision  number
	keys      map[string]keyValue
	leases    map[number]lease
	lastLease number
	log       []event // Newest changes in the order of their revisions.
	compacted number  // Revision up to which changes are forgotten.
	changed   chan struct{}
	drops     int // Times that watches were dropped.
	second    time.Time
	inSecond  int // Calls since second.
	stats     Stats
}

// New returns an empty store.
func New() *Store {
	return &Store{keys: map[string]keyValue{}, leases: map[number]lease{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// DropWatches ends every watch that is waiting.
func (s *Store) DropWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drops++
	s.wake()
}

// Compact forgets all changes, so that watches can only begin after the current revision.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.compacted = nil, s.revision
}

// wake must be called with mu held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// note must be called with mu held.
func (s *Store) note(ev event) {
	s.log = append(s.log, ev)
	if len(s.log) > 2*maxLog {
		s.compacted = s.log[len(s.log)-maxLog-1].KV.ModRevision
		s.log = slices.Clone(s.log[len(s.log)-maxLog:])
	}
	s.wake()
}

// remove must be called with mu held; it takes a revision of its own.
func (s *Store) remove(key string) {
	if _, ok := s.keys[key]; !ok {
		return
	}
	s.revision++
	delete(s.keys, key)
	s.note(event{Type: "DELETE", KV: keyValue{Key: []byte(key), ModRevision: s.revision}})
}

// put must be called with mu held, for a request that check has passed.
func (s *Store) put(r putRequest) {
	s.revision++
	kv := s.keys[string(r.Key)]
	if kv.Version == 0 {
		kv.CreateRevision = s.revision
	}
	kv.Key, kv.Value, kv.Lease = r.Key, r.Value, r.Lease
	kv.ModRevision = s.revision
	kv.Version++
	s.keys[string(r.Key)] = kv
	s.note(event{KV: kv})
}

// check says why a write cannot be done; it must be called with mu held.
func (s *Store) check(r putRequest) error {
	if len(r.Key) == 0 {
		return errNoKey
	}
	if len(r.Value) > maxValue {
		return errTooLarge
	}
	if _, ok := s.leases[r.Lease]; r.Lease != 0 && !ok {
		return errNoLease
	}
	return nil
}

// read must be called with mu held.
func (s *Store) read(r rangeRequest) rangeResponse {
	out := rangeResponse{Header: header{s.revision}}
	if len(r.RangeEnd) == 0 {
		if kv, ok := s.keys[string(r.Key)]; ok {
			out.KVs = append(out.KVs, kv)
		}
	} else {
		for _, kv := range s.keys {
			if within(kv.Key, r.Key, r.RangeEnd) {
				out.KVs = append(out.KVs, kv)
			}
		}
		slices.SortFunc(out.KVs, func(a, b keyValue) int { return bytes.Compare(a.Key, b.Key) })
	}
	out.Count = number(len(out.KVs))
	return out
}

// within reports whether key lies in the range; an empty end means the single key from, a zero byte no end.
func within(key, from, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, from)
	}
	return bytes.Compare(key, from) >= 0 && (bytes.Equal(end, []byte{0}) || bytes.Compare(key, end) < 0)
}
