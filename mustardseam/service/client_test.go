package service

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) {
	// The HTTP client ends this goroutine some seconds after its last connection.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"))
}

// serve handles each connection on loopback with the handler until the end of the test. It returns the address and a
// function that returns the last request.
func serve(t *testing.T, handler func(c *net.TCPConn, req *http.Request)) (string, func() *http.Request) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var last *http.Request
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				mu.Lock()
				last = req
				mu.Unlock()
				handler(c.(*net.TCPConn), req)
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		wg.Wait()
	})
	return ln.Addr().String(), func() *http.Request {
		mu.Lock()
		defer mu.Unlock()
		return last
	}
}

// TestResponseWithoutType guards against a media type that the service did not send.
func TestResponseWithoutType(t *testing.T) {
	addr, _ := serve(t, reply("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	c := New()
	defer c.Close()
	a, err := c.Do(Call{Address: addr, Method: "POST", Path: "/", Deadline: time.Now().Add(time.Minute)})
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Header, map[string]string{})
}

// reply returns a handler that writes the response.
func reply(response string) func(*net.TCPConn, *http.Request) {
	return func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, response) }
}

// TestDoNotRunOnlyWhenCertain guards against an order that is reported as not run although it may have run, which would
// buy twice.
func TestDoNotRunOnlyWhenCertain(t *testing.T) {
	tests := []struct {
		name           string
		handler        func(*net.TCPConn, *http.Request) // Handles a connection; nil if nothing listens.
		deadlinePassed bool                              // The deadline has passed before the call.
		notRun         bool
		status         int // Status of the response; 0 for an error.
	}{
		{name: "connection refused", notRun: true},
		{name: "deadline has passed", handler: reply(""), deadlinePassed: true, notRun: true},
		{name: "not admitted", handler: reply("HTTP/1.1 503 Busy\r\nX-Not-Admitted: true\r\nContent-Length: 0\r\n\r\n"), notRun: true},
		{name: "503 without the header", handler: reply("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), status: 503},
		{name: "header is false", handler: reply("HTTP/1.1 503 Busy\r\nX-Not-Admitted: false\r\nContent-Length: 0\r\n\r\n"), status: 503},
		{name: "header with another status", handler: reply("HTTP/1.1 500 No\r\nX-Not-Admitted: true\r\nContent-Length: 0\r\n\r\n"), status: 500},
		{name: "answer", handler: reply("HTTP/1.1 201 Made\r\nContent-Length: 2\r\n\r\nok"), status: 201},
		{name: "closed before the first byte", handler: reply("")},
		{name: "reset before the first byte", handler: func(c *net.TCPConn, _ *http.Request) { _ = c.SetLinger(0) }},
		{name: "closed within the header", handler: reply("HTTP/1.1 503 Busy\r\nX-Not-Admitted: true\r\n")},
		{name: "closed within the body", handler: reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")},
		{name: "body exceeds the limit", handler: reply("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nok")},
		{name: "not HTTP", handler: reply("SSH-2.0\r\n\r\n")},
		{name: "no response until the deadline", handler: func(c *net.TCPConn, _ *http.Request) { _, _ = io.Copy(io.Discard, c) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr := unusedAddress(t)
			if tt.handler != nil {
				addr, _ = serve(t, tt.handler)
			}
			deadline := time.Now().Add(300 * time.Millisecond)
			if tt.deadlinePassed {
				deadline = time.Now().Add(-time.Second)
			}
			c := New()
			defer c.Close()
			a, err := c.Do(Call{Address: addr, Method: "POST", Path: "/reserve", Deadline: deadline})
			assert.Equal(t, errors.Is(err, ErrNotRun), tt.notRun, "%v", err)
			assert.Equal(t, err == nil, tt.status != 0, "%v", err)
			assert.Equal(t, a.Status, tt.status)
		})
	}
}

// unusedAddress returns an address at which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// TestPathBodyAndHeadersUnchanged guards against a changed path, body or header on the way to a service and back.
func TestPathBodyAndHeadersUnchanged(t *testing.T) {
	addr, last := serve(t, reply("HTTP/1.1 409 Conflict\r\nServer: hides/1\r\nETag: \"7\"\r\nX-Hop: 1\r\nVia: a\r\nVia: b\r\n"+
		"Connection: close, X-Hop\r\nKeep-Alive: timeout=1\r\nContent-Encoding: br\r\nMustardseam-Replayed: true\r\n"+
		"Content-Type: image/png\r\nContent-Length: 2\r\n\r\n\x01\x02"))
	c := New()
	defer c.Close()
	a, err := c.Do(Call{
		Address: addr, Method: "PATCH", Path: "/hides//a%2Fb/../c?q=%20&q=1", Body: []byte("\x00body"),
		Header:   map[string]string{"Idempotency-Key": "k", "Content-Encoding": "gzip", "X-Bad": "a\r\nX-Injected: 1"},
		Deadline: time.Now().Add(time.Minute),
	})
	assert.NilError(t, err)
	assert.Equal(t, a.Status, 409)
	assert.DeepEqual(t, a.Body, []byte("\x01\x02"))
	assert.DeepEqual(t, a.Header, map[string]string{
		"Server": "hides/1", "Etag": `"7"`, "Via": "a, b", "Content-Encoding": "br", "Content-Type": "image/png",
	})
	r := last()
	assert.Equal(t, r.Method, "PATCH")
	assert.Equal(t, r.RequestURI, "/hides//a%2Fb/../c?q=%20&q=1")
	assert.Equal(t, r.Header.Get("Content-Encoding"), "gzip")
	assert.Equal(t, r.Header.Get("X-Injected"), "")
	assert.Equal(t, r.Header.Get("User-Agent"), "")
	assert.Equal(t, r.ContentLength, int64(5))
}
