package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in of a backend server. It serves one request at a time on each connection.
type replica struct {
	site    *site
	id      string
	service string
	version string
	ln      net.Listener
	serve   func(c *replicaConn, r *replicaRequest) bool // Answers a request; returns false to close the connection.

	mu    sync.Mutex
	conns int
}

// replicaConn is a connection to a replica.
type replicaConn struct {
	net.Conn
	number int
	served int    // Requests that were answered on it.
	late   string // Bytes that are sent late, before the next answer.
}

// replicaRequest is a request that has arrived at a replica as a whole.
type replicaRequest struct {
	*http.Request
	id   string
	body []byte
}

func newReplica(s *site, id, service string, serve func(*replicaConn, *replicaRequest) bool) (*replica, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{site: s, id: id, service: service, version: "v1", ln: ln, serve: serve}
	go r.accept()
	return r, nil
}

// entry is the replica's entry in the store.
func (r *replica) entry(state string, born int64, seq int) map[string]any {
	return map[string]any{
		"service": r.service, "addr": r.ln.Addr().String(), "zone": "amman-a", "version": r.version, "slots": 6, "state": state,
		"coldLeftMs": 0, "seq": seq, "born": born,
	}
}

// register writes the replica's entry to the store.
func (r *replica) register() {
	r.site.store.put("servers/"+r.id, r.entry("ready", time.Now().Add(-time.Minute).UnixMilli(), 1))
}

func (r *replica) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns++
		n := r.conns
		r.mu.Unlock()
		go r.serveConn(&replicaConn{Conn: c, number: n})
	}
}

func (r *replica) serveConn(c *replicaConn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		in := &replicaRequest{Request: req, id: req.Header.Get("Mustardseam-Request-Id"), body: body}
		if want := req.Header.Get("Mustardseam-Expect-Instance"); want != "" && want != r.id {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nMustardseam-Instance-Id: "+r.id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !r.serve(c, in) {
			return
		}
		c.served++
	}
}

// seal returns the seal of an answer.
func (r *replica) seal(id string, status int) string {
	return fmt.Sprintf("%s.%s.%d", r.id, id, status)
}

// answer returns an answer to a request, in the form of the examples on the pages.
func (r *replica) answer(id string, status int, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nMustardseam-Request-Id: %s\r\nMustardseam-Response-Seal: %s\r\n", status, http.StatusText(status), id, r.seal(id, status))
	fmt.Fprintf(&b, "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// refusal returns the answer of a replica that is full: it has not run the request.
func (r *replica) refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nMustardseam-Not-Executed: 1\r\nMustardseam-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
}
