package engine

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

const sseHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// TestStartNotRunOnlyWhenCertain guards against a failure that is reported as not run although the engine may have run
// the request, which would run it twice, and against a certain refusal that is not reported as such.
func TestStartNotRunOnlyWhenCertain(t *testing.T) {
	tests := []struct {
		name           string
		handler        func(c net.Conn, r *bufio.Reader) // Handles a connection; nil if nothing listens.
		deadlinePassed bool                              // The deadline has passed before the call.
		notRun         bool
		status         int
	}{
		{name: "connection refused", notRun: true},
		{name: "deadline has passed", deadlinePassed: true, notRun: true, handler: func(net.Conn, *bufio.Reader) {}},
		{name: "not admitted", notRun: true, handler: func(c net.Conn, r *bufio.Reader) {
			respond(c, r, "HTTP/1.1 503 Busy\r\nX-Not-Admitted: true\r\nContent-Length: 0\r\n\r\n")
		}},
		{name: "503 without the header", status: 503, handler: func(c net.Conn, r *bufio.Reader) {
			respond(c, r, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		}},
		{name: "header is false", status: 503, handler: func(c net.Conn, r *bufio.Reader) {
			respond(c, r, "HTTP/1.1 503 Busy\r\nX-Not-Admitted: false\r\nContent-Length: 0\r\n\r\n")
		}},
		{name: "header with another status", status: 500, handler: func(c net.Conn, r *bufio.Reader) {
			respond(c, r, "HTTP/1.1 500 Broken\r\nX-Not-Admitted: true\r\nContent-Length: 0\r\n\r\n")
		}},
		{name: "client error", status: 400, handler: func(c net.Conn, r *bufio.Reader) {
			respond(c, r, "HTTP/1.1 400 Bad\r\nContent-Length: 3\r\n\r\nbad")
		}},
		{name: "closed when accepted", handler: func(net.Conn, *bufio.Reader) {}},
		{name: "reset at the first byte", handler: func(c net.Conn, r *bufio.Reader) {
			_, _ = r.Peek(1)
			resetConnection(c)
		}},
		{name: "closed after the request", handler: func(c net.Conn, r *bufio.Reader) { respond(c, r, "") }},
		{name: "reset after the request", handler: func(c net.Conn, r *bufio.Reader) {
			respond(c, r, "")
			resetConnection(c)
		}},
		{name: "reset within the header", handler: func(c net.Conn, r *bufio.Reader) {
			respond(c, r, "HTTP/1.1 503 Busy\r\nX-Not-Adm")
			resetConnection(c)
		}},
		{name: "no response until the deadline", handler: func(c net.Conn, r *bufio.Reader) {
			respond(c, r, "")
			_, _ = io.Copy(io.Discard, r)
		}},
		{name: "not HTTP", handler: func(c net.Conn, r *bufio.Reader) { respond(c, r, "SSH-2.0\r\n\r\n") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr := unusedAddress(t)
			if tt.handler != nil {
				addr = serve(t, tt.handler)
			}
			deadline := time.Now().Add(300 * time.Millisecond)
			if tt.deadlinePassed {
				deadline = time.Now().Add(-time.Second)
			}
			_, err := newClient(t, Config{}).Start(Call{ID: "a", Address: addr, Path: "/v1/completions", Deadline: deadline})
			assert.Assert(t, err != nil)
			assert.Equal(t, errors.Is(err, ErrNotRun), tt.notRun, "%v", err)
			var status *StatusError
			if errors.As(err, &status) {
				assert.Equal(t, status.Status, tt.status)
			} else {
				assert.Equal(t, tt.status, 0, "%v", err)
			}
		})
	}
}

// TestStaleConnectionNotRetried guards against a silent retry, or an error that says not run, when a reused connection
// closes during a request.
func TestStaleConnectionNotRetried(t *testing.T) {
	var requests atomic.Int32
	addr := serve(t, func(c net.Conn, r *bufio.Reader) {
		if respond(c, r, "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n") {
			requests.Add(1)
		}
		if respond(c, r, "") {
			requests.Add(1)
		}
	})
	cl := newClient(t, Config{})
	call := Call{ID: "a", Address: addr, Path: "/v1/completions", Deadline: time.Now().Add(time.Minute)}
	for range 2 {
		_, err := cl.Start(call)
		assert.Assert(t, err != nil && !errors.Is(err, ErrNotRun), "%v", err)
	}
	assert.Equal(t, requests.Load(), int32(2))
}

// TestClosedStreamsDoNotMix guards against the rest of a cancelled stream in the response to the next request.
func TestClosedStreamsDoNotMix(t *testing.T) {
	addr := serve(t, func(c net.Conn, r *bufio.Reader) {
		for respond(c, r, sseHeader) {
			if writeChunk(c, sseEvent("old ")) != nil || writeChunk(c, sseEvent("rest ")+"data: [DONE]\n\n") != nil {
				return
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
	})
	cl := newClient(t, Config{})
	for range 5 {
		s, err := cl.Start(Call{ID: "a", Address: addr, Path: "/", Deadline: time.Now().Add(time.Minute)})
		assert.NilError(t, err)
		ev, err := s.Next()
		assert.NilError(t, err)
		assert.Equal(t, ev.Content, "old ")
		s.Close()
		s.Close()
	}
}

// TestResumeAndCancelPaths guards against a resume from the wrong token and a cancel of the wrong stream.
func TestResumeAndCancelPaths(t *testing.T) {
	lines := make(chan string, 2)
	addr := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			lines <- strings.TrimSpace(line)
			for line != "\r\n" && err == nil {
				line, err = r.ReadString('\n')
			}
			_, _ = io.WriteString(c, "HTTP/1.1 404 Gone\r\nContent-Length: 0\r\n\r\n")
		}
	})
	cl := newClient(t, Config{})
	_, err := cl.Resume(Call{ID: "a/b", Address: addr, Deadline: time.Now().Add(time.Minute)}, 7)
	var status *StatusError
	assert.Assert(t, errors.As(err, &status) && status.Status == 404, "%v", err)
	assert.ErrorContains(t, cl.Cancel(addr, "a/b"), "404")
	assert.Equal(t, <-lines, "GET /resume/a%2Fb?after=7 HTTP/1.1")
	assert.Equal(t, <-lines, "POST /cancel/a%2Fb HTTP/1.1")
}

// TestLoadReportDecoding guards against an invalid load report that would change the home's view of an engine.
func TestLoadReportDecoding(t *testing.T) {
	tests := []struct {
		name, body string
		fails      bool
	}{
		{"whole", `{"sequence":3,"age-ms":200,"running":2,"waiting":1,"cold":true,"version":"v1","other":[1]}`, false},
		{"negative", `{"sequence":3,"running":-2}`, true},
		{"wrong type", `{"sequence":"three"}`, true},
		{"invalid JSON", `busy`, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr := serve(t, func(c net.Conn, r *bufio.Reader) {
				respond(c, r, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+tt.body)
			})
			r, err := newClient(t, Config{}).LoadReport("e1", addr)
			assert.Equal(t, err != nil, tt.fails, "%v", err)
			if !tt.fails {
				assert.DeepEqual(t, r, pool.Report{
					Server: "e1", Sequence: 3, Age: 200 * time.Millisecond, Running: 2, Waiting: 1, Cold: true, Version: "v1",
				})
			}
		})
	}
}
