package etcd

import (
	"bytes"
	"slices"
	"sync"
	"time"
)

const (
	// maxLogEvents is the number of changes kept for watches that start at an earlier revision; up to twice as many are
	// kept until the log is trimmed.
	maxLogEvents = 1 << 14
	// maxValueBytes limits the size of a value; the platform has the same limit.
	maxValueBytes = 1 << 20
)

// Store is an in-memory key-value store; its methods are safe for concurrent use.
type Store struct {
	mu                sync.Mutex // Guards the fields below.
	faults            Faults
	revision          jsonInt64
	keys              map[string]keyValue
	leases            map[jsonInt64]lease
	lastLease         jsonInt64
	log               []event   // Latest changes in the order of their revisions.
	compactedRevision jsonInt64 // Revision up to which changes have been discarded.
	changed           chan struct{}
	watchDrops        int // Number of calls of DropWatches.
	rateWindowStart   time.Time
	callsInWindow     int // Calls since rateWindowStart.
	stats             Stats
}

// New returns an empty store.
func New() *Store {
	return &Store{keys: map[string]keyValue{}, leases: map[jsonInt64]lease{}, changed: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// DropWatches ends all open watches.
func (s *Store) DropWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchDrops++
	s.notifyWatches()
}

// Compact discards all past changes, so that watches can start only after the current revision.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.compactedRevision = nil, s.revision
}

// notifyWatches wakes all open watches; it must be called with mu held.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// appendEvent adds a change to the log and wakes all open watches; it must be called with mu held.
func (s *Store) appendEvent(ev event) {
	s.log = append(s.log, ev)
	if len(s.log) > 2*maxLogEvents {
		s.compactedRevision = s.log[len(s.log)-maxLogEvents-1].KV.ModRevision
		s.log = slices.Clone(s.log[len(s.log)-maxLogEvents:])
	}
	s.notifyWatches()
}

// remove deletes a key in a revision of its own; it must be called with mu held.
func (s *Store) remove(key string) {
	if _, ok := s.keys[key]; !ok {
		return
	}
	s.revision++
	delete(s.keys, key)
	s.appendEvent(event{Type: "DELETE", KV: keyValue{Key: []byte(key), ModRevision: s.revision}})
}

// put writes a key in a new revision. It must be called with mu held, after checkPut has accepted the request.
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
	s.appendEvent(event{KV: kv})
}

// checkPut returns an error when a write is invalid; it must be called with mu held.
func (s *Store) checkPut(r putRequest) error {
	if len(r.Key) == 0 {
		return errNoKey
	}
	if len(r.Value) > maxValueBytes {
		return errTooLarge
	}
	if _, ok := s.leases[r.Lease]; r.Lease != 0 && !ok {
		return errNoLease
	}
	return nil
}

// readRange returns the keys of a range in order; it must be called with mu held.
func (s *Store) readRange(r rangeRequest) rangeResponse {
	out := rangeResponse{Header: header{s.revision}}
	if len(r.RangeEnd) == 0 {
		if kv, ok := s.keys[string(r.Key)]; ok {
			out.KVs = append(out.KVs, kv)
		}
	} else {
		for _, kv := range s.keys {
			if inRange(kv.Key, r.Key, r.RangeEnd) {
				out.KVs = append(out.KVs, kv)
			}
		}
		slices.SortFunc(out.KVs, func(a, b keyValue) int { return bytes.Compare(a.Key, b.Key) })
	}
	out.Count = jsonInt64(len(out.KVs))
	return out
}

// inRange reports whether key is in the range [from, end). An empty end selects the single key from; a zero byte means
// no upper limit.
func inRange(key, from, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, from)
	}
	return bytes.Compare(key, from) >= 0 && (bytes.Equal(end, []byte{0}) || bytes.Compare(key, end) < 0)
}
