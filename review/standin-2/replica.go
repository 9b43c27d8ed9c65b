package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for a backend server.
type replica struct {
	id, service, zone, addr string
	born                    int64
	slots                   int
	work                    func(r *http.Request) time.Duration // How long a request takes.
	server                  *http.Server
	leaving                 atomic.Bool
	running                 atomic.Int64
	seals                   atomic.Int64
	rec                     *recorder

	mu         sync.Mutex
	seq        int64
	limit      float64 // Requests in a second above which it crashes until limitUntil.
	limitUntil time.Time
	arrivals   []time.Time // Arrivals of the last second.
	gone       bool        // It has crashed.
}

// newReplica returns a replica that serves on a free port of ip.
func newReplica(rec *recorder, ip, id, service, zone string, slots int, work func(r *http.Request) time.Duration) *replica {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	check(err)
	r := &replica{
		id: id, service: service, zone: zone, addr: ln.Addr().String(), born: time.Now().UnixMilli(), slots: slots, work: work, rec: rec,
	}
	r.server = &http.Server{Handler: r, IdleTimeout: 30 * time.Second}
	go func() { _ = r.server.Serve(ln) }()
	return r
}

// entry returns the registration of the replica with a state.
func (r *replica) entry(state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	return map[string]any{
		"service": r.service, "addr": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state, "coldLeftMs": 0,
		"seq": r.seq, "born": r.born,
	}
}

// exit ends the replica with its connections, as a process that exits does.
func (r *replica) exit() { _ = r.server.Close() }

// crashAbove makes the replica crash when it gets more than n requests in a second within a time from now.
func (r *replica) crashAbove(n float64, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit, r.limitUntil = n, time.Now().Add(d)
}

// crashed reports whether the replica has crashed.
func (r *replica) crashed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gone
}

// arrive counts a request and reports whether the replica crashes under it.
func (r *replica) arrive(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.arrivals) > 0 && now.Sub(r.arrivals[0]) >= time.Second {
		r.arrivals = r.arrivals[1:]
	}
	r.arrivals = append(r.arrivals, now)
	r.gone = r.gone || now.Before(r.limitUntil) && float64(len(r.arrivals)) > r.limit
	return r.gone
}

// ServeHTTP runs a request.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Mustardseam-Request-Id")
	body, _ := io.ReadAll(req.Body)
	h := w.Header()
	if expect := req.Header.Get("Mustardseam-Expect-Instance"); expect != "" && expect != r.id {
		h.Set("Mustardseam-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("Mustardseam-Request-Id", id)
	h.Set("Keep-Alive", "timeout=30")
	if r.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	arrived := time.Now()
	r.rec.add(event{at: arrived, kind: "reached", id: id, who: r.id})
	if r.arrive(arrived) {
		r.exit()
		return
	}
	if r.running.Add(1) > int64(r.slots+24) {
		r.running.Add(-1)
		h.Set("Mustardseam-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.running.Add(-1)
	r.rec.add(event{at: arrived, kind: "run", id: id, who: r.id, note: fmt.Sprintf("%d bytes", len(body))})
	if n, err := strconv.Atoi(req.Header.Get("Stand-In-Events")); err == nil {
		r.stream(w, req, id, n)
		return
	}
	if !sleep(req.Context(), r.work(req)) {
		r.rec.add(event{at: time.Now(), kind: "dropped", id: id, who: r.id})
		return
	}
	h.Set("Mustardseam-Response-Seal", r.id+"."+strconv.FormatInt(r.seals.Add(1), 10))
	h.Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, "done "+id+"\n")
	r.rec.add(event{at: time.Now(), kind: "ran", id: id, who: r.id})
}

// stream answers with n events, one each 100 ms.
func (r *replica) stream(w http.ResponseWriter, req *http.Request, id string, n int) {
	w.Header().Set("Mustardseam-Response-Seal", r.id+"."+strconv.FormatInt(r.seals.Add(1), 10))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= n; i++ {
		if !sleep(req.Context(), eventGap) {
			r.rec.add(event{at: time.Now(), kind: "dropped", id: id, who: r.id, note: fmt.Sprintf("after %d events", i-1)})
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d of %d\n\n", i, id, i, n)
		_ = http.NewResponseController(w).Flush()
	}
	r.rec.add(event{at: time.Now(), kind: "ran", id: id, who: r.id, note: fmt.Sprintf("%d events", n)})
}

// eventGap is the pause between two events of a stream.
const eventGap = 100 * time.Millisecond

// sleep waits and reports whether the context lasted.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
