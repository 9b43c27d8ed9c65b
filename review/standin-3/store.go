package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item as the store sends it.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Rev       int64  `json:"rev"`
	CreateRev int64  `json:"createRev"`
	Lease     int64  `json:"lease"`
}

// storeEvent is a change as the store sends it.
type storeEvent struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	CreateRev int64  `json:"createRev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Removed   bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's metadata store. It answers within some milliseconds and loses nothing.
type store struct {
	ln net.Listener
	mu sync.Mutex
	// items and history are guarded by mu, like the fields below.
	items     map[string]storeItem
	history   []storeEvent
	rev       int64
	changed   chan struct{} // Closed at the next change.
	lastLease int64
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{ln: ln, items: map[string]storeItem{}, rev: 100, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.getKey)
	mux.HandleFunc("GET /-/kv-range", s.getRange)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.txn)
	mux.HandleFunc("POST /-/kv-lease", s.grantLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", func(w http.ResponseWriter, _ *http.Request) { reply(w, 200, map[string]any{"ttlMs": 3000}) })
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", func(w http.ResponseWriter, _ *http.Request) { reply(w, 200, map[string]any{}) })
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

func (s *store) addr() string { return s.ln.Addr().String() }

// put writes an item as the operator or a backend server does, and returns the revision.
func (s *store) put(key string, value any) int64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, b, 0)
	s.notify()
	return s.rev
}

// remove removes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	s.delete(key)
	s.notify()
}

// value returns the value of a key; nil if there is none.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) write(key string, value []byte, lease int64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.CreateRev
	}
	s.items[key] = storeItem{key, value, s.rev, created, lease}
	s.history = append(s.history, storeEvent{Key: key, Value: value, Rev: s.rev, CreateRev: created, Lease: lease})
}

func (s *store) delete(key string) {
	delete(s.items, key)
	s.history = append(s.history, storeEvent{Key: key, Rev: s.rev, Removed: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, 404, map[string]any{"asOf": rev})
		return
	}
	reply(w, 200, struct {
		storeItem
		AsOf int64 `json:"asOf"`
	}{i, rev})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, 200, map[string]any{"items": items, "morePages": false, "asOf": s.rev})
}

// events returns the changes after a revision, and a channel that is closed at the next change.
func (s *store) events(q url.Values) (events []storeEvent, rev int64, changed chan struct{}) {
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.history {
		if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
			events = append(events, e)
		}
	}
	return events, s.rev, s.changed
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, rev, changed := s.events(q)
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "asOf": rev})
			return
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-r.Context().Done():
		}
		reply(w, 200, map[string]any{"events": []storeEvent{}, "asOf": rev})
		return
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expect"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Delete []string `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items, conflict := []storeItem{}, false
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		if ok {
			items = append(items, i)
		}
		conflict = conflict || i.Rev != e.Rev
	}
	if conflict {
		reply(w, 412, map[string]any{"items": items})
		return
	}
	s.rev++
	for _, i := range t.Writes {
		s.write(i.Key, i.Value, i.Lease)
	}
	for _, key := range t.Delete {
		if _, ok := s.items[key]; ok {
			s.delete(key)
		}
	}
	s.notify()
	reply(w, 200, map[string]any{"rev": s.rev})
}

func (s *store) grantLease(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	reply(w, 200, map[string]any{"lease": s.lastLease, "ttlMs": 3000})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
