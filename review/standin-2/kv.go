package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// kvLatency is the time that the store takes for an answer.
	kvLatency = 4 * time.Millisecond
	// kvPageItems is the number of items of a page of a list.
	kvPageItems = 500
	// kvMaxWait is the longest time for which a watch waits.
	kvMaxWait = 30 * time.Second
	// kvShortIdle and kvLongIdle are times for which the store keeps an idle connection.
	kvShortIdle = 5 * time.Second
	kvLongIdle  = 60 * time.Second
	// kvHistory is how long the store keeps its history, historyS of the settings.
	kvHistory = 20 * time.Second
)

// kvStore is a stand-in for the metadata store.
type kvStore struct {
	addr string

	mu        sync.Mutex
	rev       int64
	items     map[string]kvItem
	history   []kvItem
	leases    map[int64]*kvLease
	changed   chan struct{} // Closed and replaced at each change.
	discarded int64         // Latest revision that is not in the history any more.
	era       int64         // Rises by one each time the store is restored from a copy.
	away      bool          // Calls are answered 503, which means that nothing was done.
}

// kvItem is an item, or its removal, as in the answers of the store.
type kvItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Rev       int64  `json:"rev"`
	CreateRev int64  `json:"createRev"`
	Lease     int64  `json:"lease"`
	Removed   bool   `json:"removed,omitempty"`
	at        time.Time
}

// kvLease is a lease and its keys.
type kvLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// newKVStore returns a store that serves on a free port of an address and closes connections that are idle for idleTimeout.
func newKVStore(ip string, idleTimeout time.Duration) *kvStore {
	s := &kvStore{era: 1, rev: 1, items: map[string]kvItem{}, leases: map[int64]*kvLease{}, changed: make(chan struct{})}
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	check(err)
	s.addr = ln.Addr().String()
	mux := http.NewServeMux()
	for pattern, f := range map[string]http.HandlerFunc{
		"GET /-/kv-key": s.get, "GET /-/kv-range": s.list, "GET /-/kv-watch": s.watch, "POST /-/kv-txn": s.txn,
		"POST /-/kv-lease": s.grant, "POST /-/kv-keep/{id}": s.keep, "DELETE /-/kv-lease-end/{id}": s.end,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if s.isAway() {
				s.answer(w, http.StatusServiceUnavailable, nil)
				return
			}
			f(w, r)
		})
	}
	server := &http.Server{Handler: mux, IdleTimeout: idleTimeout}
	go func() { _ = server.Serve(ln) }()
	return s
}

// put writes a key as the operator or a backend server does, and returns the time of the acknowledgement.
func (s *kvStore) put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(kvItem{Key: key, Value: b})
	s.notify()
	return time.Now()
}

// remove deletes a key and returns the time of the acknowledgement.
func (s *kvStore) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(kvItem{Key: key, Removed: true})
	s.notify()
	return time.Now()
}

// write records a change at the current revision; mu must be held.
func (s *kvStore) write(i kvItem) {
	i.Rev, i.CreateRev, i.at = s.rev, s.rev, time.Now()
	if old, ok := s.items[i.Key]; ok {
		i.CreateRev = old.CreateRev
	}
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
}

func (s *kvStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) answer(w http.ResponseWriter, status int, body any) {
	time.Sleep(kvLatency)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *kvStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		s.answer(w, http.StatusNotFound, map[string]any{"asOf": rev})
		return
	}
	s.answer(w, http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "rev": i.Rev, "createRev": i.CreateRev, "lease": i.Lease, "asOf": rev,
	})
}

func (s *kvStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []kvItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > kvPageItems
	if more {
		items = items[:kvPageItems]
	}
	s.answer(w, http.StatusOK, map[string]any{"items": items, "morePages": more, "asOf": rev})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		s.answer(w, http.StatusBadRequest, nil)
		return
	}
	timeout := time.After(min(kvMaxWait, time.Duration(ms)*time.Millisecond))
	s.mu.Lock()
	s.forgetHistory()
	era, known, discarded := s.era, s.rev, s.discarded
	s.mu.Unlock()
	if after > known || after < discarded {
		s.answer(w, http.StatusGone, nil)
		return
	}
	for {
		s.mu.Lock()
		if s.era != era || s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // A watch that is waiting may be cut.
		}
		events := []kvItem{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || expired {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "asOf": rev})
			return
		}
	}
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expect"`
		Writes []kvItem `json:"writes"`
		Delete []string `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		s.answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	status, rev, current := http.StatusOK, int64(0), []kvItem{}
	for _, e := range t.Expect {
		if s.items[e.Key].Rev != e.Rev {
			status = http.StatusPreconditionFailed
		}
		if i, ok := s.items[e.Key]; ok {
			current = append(current, i)
		}
	}
	for _, i := range t.Writes {
		if i.Lease != 0 && s.leases[i.Lease] == nil && status == http.StatusOK {
			status = http.StatusNotFound
		}
	}
	if status == http.StatusOK {
		s.rev++
		rev = s.rev
		for _, i := range t.Writes {
			s.write(kvItem{Key: i.Key, Value: i.Value, Lease: i.Lease})
		}
		for _, key := range t.Delete {
			s.write(kvItem{Key: key, Removed: true})
		}
		s.notify()
	}
	s.mu.Unlock()
	switch status {
	case http.StatusOK:
		s.answer(w, status, map[string]any{"rev": rev})
	case http.StatusPreconditionFailed:
		s.answer(w, status, map[string]any{"items": current})
	default:
		s.answer(w, status, nil)
	}
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var t struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		s.answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	s.rev++
	id, l := s.rev, &kvLease{ttl: time.Duration(t.TTLMS) * time.Millisecond}
	l.timer = time.AfterFunc(l.ttl, func() { s.expire(id) })
	s.leases[id] = l
	s.mu.Unlock()
	s.answer(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": t.TTLMS})
}

// expire ends a lease and removes its keys. It reports whether there was one.
func (s *kvStore) expire(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.write(kvItem{Key: key, Removed: true})
		}
	}
	s.notify()
	return true
}

func (s *kvStore) keep(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.timer.Reset(l.ttl)
	}
	s.mu.Unlock()
	if err != nil || l == nil {
		s.answer(w, http.StatusNotFound, nil)
		return
	}
	s.answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *kvStore) end(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil || !s.expire(id) {
		s.answer(w, http.StatusNotFound, nil)
		return
	}
	s.answer(w, http.StatusOK, map[string]any{})
}

// kvCopy is a copy of the store.
type kvCopy struct {
	rev     int64
	items   map[string]kvItem
	history []kvItem
}

// copied returns a copy of the store.
func (s *kvStore) copied() kvCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return kvCopy{rev: s.rev, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// leave makes the store go away.
func (s *kvStore) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// restore brings the store back from a copy.
func (s *kvStore) restore(c kvCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.items, s.history = c.rev, c.items, c.history
	s.away = false
	s.era++
	s.notify()
}

func (s *kvStore) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// awaitWrite waits until a key is written, for a limited time.
func (s *kvStore) awaitWrite(key string, limit time.Duration) {
	s.mu.Lock()
	before := s.items[key].Rev
	s.mu.Unlock()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		rev := s.items[key].Rev
		s.mu.Unlock()
		if rev != before {
			return
		}
	}
}

// awaitKey waits until a key exists, for a limited time.
func (s *kvStore) awaitKey(key string, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		_, ok := s.items[key]
		s.mu.Unlock()
		if ok {
			return
		}
	}
	panic("key " + key + " is not written")
}

// forgetHistory discards the changes that are older than the history that the store keeps; mu must be held.
func (s *kvStore) forgetHistory() {
	old := 0
	for old < len(s.history) && time.Since(s.history[old].at) > kvHistory {
		s.discarded = s.history[old].Rev
		old++
	}
	s.history = slices.Clone(s.history[old:])
}

// size returns the length of the value of a key.
func (s *kvStore) size(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items[key].Value)
}
