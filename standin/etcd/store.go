package etcd

import (
	"bytes"
	"sort"
	"sync"
	"time"
)

// Store is the key-value store; its methods are safe for concurrent use.
type Store struct {
	mu       sync.Mutex // Guards all that follows.
	faults   Faults
	revision number
	keys     map[string]keyValue
	leases   map[number]lease
	log      []event // All changes in the order of their revisions.
	changed  chan struct{}
	calls    int
}

type lease struct {
	ttl  time.Duration
	ends time.Time
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

// Calls returns the number of calls so far, a waiting watch counted as one.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ExpireLeases ends every lease at once, as a long pause of its holder does.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		l.ends = time.Time{}
		s.leases[id] = l
	}
	s.expire()
}

// wake must be called with mu held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire drops the keys of leases that have ended; it must be called with mu held.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if l.ends.After(now) {
			continue
		}
		delete(s.leases, id)
		for key, kv := range s.keys {
			if kv.Lease == id {
				s.remove(key)
			}
		}
	}
}

// remove must be called with mu held.
func (s *Store) remove(key string) {
	if _, ok := s.keys[key]; !ok {
		return
	}
	s.revision++
	delete(s.keys, key)
	s.log = append(s.log, event{Type: "DELETE", KV: keyValue{Key: []byte(key), ModRevision: s.revision}})
	s.wake()
}

// put must be called with mu held.
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
	s.log = append(s.log, event{KV: kv})
	s.wake()
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
		sort.Slice(out.KVs, func(i, j int) bool { return bytes.Compare(out.KVs[i].Key, out.KVs[j].Key) < 0 })
	}
	out.Count = number(len(out.KVs))
	return out
}

// within reports whether key lies in the range; an empty end means the single key from.
func within(key, from, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, from)
	}
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
}

// txn must be called with mu held.
func (s *Store) txn(r txnRequest) txnResponse {
	out := txnResponse{Succeeded: true}
	for _, c := range r.Compare {
		kv := s.keys[string(c.Key)]
		switch c.Target {
		case "CREATE":
			out.Succeeded = out.Succeeded && kv.CreateRevision == c.CreateRevision
		default:
			out.Succeeded = out.Succeeded && kv.ModRevision == c.ModRevision
		}
	}
	ops := r.Success
	if !out.Succeeded {
		ops = r.Failure
	}
	for _, op := range ops {
		out.Responses = append(out.Responses, s.apply(op))
	}
	out.Header.Revision = s.revision
	return out
}

// apply must be called with mu held.
func (s *Store) apply(op operation) operationResponse {
	switch {
	case op.Put != nil:
		s.put(*op.Put)
		return operationResponse{Put: &putResponse{header{s.revision}}}
	case op.Range != nil:
		out := s.read(*op.Range)
		return operationResponse{Range: &out}
	case op.Delete != nil:
		for _, kv := range s.read(*op.Delete).KVs {
			s.remove(string(kv.Key))
		}
	}
	return operationResponse{}
}
