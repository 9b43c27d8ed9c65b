package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is how long the store takes to answer.
const storeLatency = 4 * time.Millisecond

// storeItem is an item in the format of the store.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	CreateRev int64  `json:"createRev,omitempty"`
	Lease     int64  `json:"lease"`
	Removed   bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	ln      net.Listener
	mu      sync.Mutex
	items   map[string]storeItem
	history []storeItem
	rev     int64
	changed chan struct{} // Closed and replaced at each change.
	down    bool          // Connections are reset.
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{ln: ln, items: map[string]storeItem{}, rev: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.txn)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		if s.isDown() {
			reset(w)
			return
		}
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = srv.Serve(ln) }()
	return s, nil
}

func (s *store) addr() string { return s.ln.Addr().String() }

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// setDown makes the store reset all connections, or answer again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed) // Waiting watches end.
	s.changed = make(chan struct{})
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// put writes an item as the operator or a backend server and returns the time of the acknowledgement.
func (s *store) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.apply(storeItem{Key: key, Value: value, Rev: s.rev})
	s.notify()
	return time.Now()
}

// remove deletes an item and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.apply(storeItem{Key: key, Rev: s.rev, Removed: true})
	s.notify()
	return time.Now()
}

// apply makes a change; mu must be held.
func (s *store) apply(i storeItem) {
	if old, ok := s.items[i.Key]; ok {
		i.CreateRev = old.CreateRev
	} else {
		i.CreateRev = i.Rev
	}
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
}

// notify wakes the watches; mu must be held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageSize
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "morePages": more, "asOf": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			reset(w)
			return
		}
		events := []storeItem{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || wait == 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expect"`
		Writes []storeItem `json:"writes"`
		Delete []string    `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, i := range t.Writes {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			answer(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []storeItem{}, false
	for _, e := range t.Expect {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		conflict = conflict || i.Rev != e.Rev
	}
	if conflict {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.rev++
	for _, i := range t.Writes {
		s.apply(storeItem{Key: i.Key, Value: i.Value, Rev: s.rev, Lease: i.Lease})
	}
	for _, key := range t.Delete {
		s.apply(storeItem{Key: key, Rev: s.rev, Removed: true})
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"rev": s.rev})
}
