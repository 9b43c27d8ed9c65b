package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// backend is a sound backend server of a plain service.
type backend struct {
	id      string
	service string
	born    int64
	slots   int
	work    time.Duration
	rec     *recorder
	ln      net.Listener
	srv     *http.Server
	places  chan struct{}

	mu       sync.Mutex
	queued   int
	arrivals []arrival
}

// arrival is a request that reached a backend server.
type arrival struct {
	id    string
	at    time.Time
	ended time.Time // End of its run; zero while it runs.
}

// maxQueued is how many requests a backend server queues.
const maxQueued = 24

func newBackend(rec *recorder, id, service string, slots int, work time.Duration) (*backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		id: id, service: service, born: time.Now().UnixMilli(), slots: slots, work: work, rec: rec, ln: ln,
		places: make(chan struct{}, slots),
	}
	b.srv = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.srv.Serve(ln) }()
	return b, nil
}

// entry returns the registration in the store.
func (b *backend) entry(state string) []byte {
	v, _ := json.Marshal(map[string]any{
		"service": b.service, "addr": b.ln.Addr().String(), "zone": "z1", "version": "v1", "slots": b.slots, "state": state,
		"coldLeftMs": 0, "seq": 1, "born": b.born,
	})
	return v
}

// close ends the backend server with all its connections.
func (b *backend) close() { _ = b.srv.Close() }

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Mustardseam-Request-Id")
	w.Header().Set("Mustardseam-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.Header.Get("Mustardseam-Expect-Instance") != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n := b.arrive(id)
	if n < 0 {
		w.Header().Set("Mustardseam-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.places <- struct{}{}
	b.rec.logf("run      %s begins at %s", id, b.id)
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		<-b.places
		b.rec.logf("run      %s at %s is dropped, its connection has ended", id, b.id)
		return
	}
	<-b.places
	b.end(n)
	b.rec.logf("run      %s ends at %s", id, b.id)
	w.Header().Set("Mustardseam-Response-Seal", "seal-"+id)
	_, _ = fmt.Fprintf(w, "%s done by %s\n", id, b.id)
}

// arrive records the arrival of a request and returns its number, or -1 if the backend server is full.
func (b *backend) arrive(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queued >= b.slots+maxQueued {
		return -1
	}
	b.queued++
	b.arrivals = append(b.arrivals, arrival{id: id, at: time.Now()})
	return len(b.arrivals) - 1
}

func (b *backend) end(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued--
	b.arrivals[n].ended = time.Now()
}

// arrived returns the requests that reached the backend server.
func (b *backend) arrived() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}
