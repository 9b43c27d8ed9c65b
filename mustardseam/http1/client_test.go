package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// startScriptedServer starts a backend server that passes each connection and its number, from 0, to serve.
func startScriptedServer(t *testing.T, serve func(n int, c net.Conn, br *bufio.Reader)) *fleet.Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return &fleet.Server{ID: "s", Address: ln.Addr().String()}
}

func newCall(s *fleet.Server, id string, atMostOnce bool) Call {
	return Call{
		Server: s, Header: RequestHeader{Method: "GET", Path: "/", Host: "h", Fields: []HeaderField{{Name: "Id", Value: id}}},
		Deadline: time.Now().Add(10 * time.Second), AtMostOnce: atMostOnce,
		Matches: func(h *fasthttp.ResponseHeader) bool { return string(h.Peek("Id")) == id },
	}
}

func readRequest(br *bufio.Reader) (string, error) {
	var req fasthttp.Request
	err := req.Read(br)
	return string(req.Header.Peek("Id")), err
}

// TestIncompleteBodyIsAnError guards against a truncated or malformed body that is returned as complete.
func TestIncompleteBodyIsAnError(t *testing.T) {
	tests := []struct {
		name, response string
		body           string
		err            error
	}{
		{"length", "Content-Length: 3\r\n\r\nabc", "abc", nil},
		{"short", "Content-Length: 4\r\n\r\nabc", "", ErrIncompleteResponse},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "abc", nil},
		{"trailer", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n", "abc", nil},
		{"no last chunk", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "", ErrIncompleteResponse},
		{"no end of trailer", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", "", ErrIncompleteResponse},
		{"bad chunk", "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", "", ErrIncompleteResponse},
		{"until close", "\r\nabc", "abc", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startScriptedServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				if _, err := readRequest(br); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: r\r\n"+test.response)
				}
			})
			r, err := NewClient(ClientConfig{}).Do(context.Background(), newCall(s, "r", false))
			assert.NilError(t, err)
			defer r.Close()
			b, err := r.ReadBody(context.Background(), 1<<20)
			if test.err != nil {
				assert.Assert(t, errors.Is(err, test.err), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(b), test.body)
		})
	}
}

// TestAtMostOnceAvoidsStaleConnections guards against at-most-once requests that fail on connections which backend servers
// drop without notice: after one was found reset, such requests reuse only connections that were idle for less time.
func TestAtMostOnceAvoidsStaleConnections(t *testing.T) {
	s := startScriptedServer(t, func(n int, c net.Conn, br *bufio.Reader) {
		for first := true; ; first = false {
			id, err := readRequest(br)
			if err != nil || n == 0 && !first {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\nId: "+id+"\r\n\r\n")
		}
	})
	client := NewClient(ClientConfig{})
	send := func(id string, once bool) error {
		r, err := client.Do(context.Background(), newCall(s, id, once))
		if err != nil {
			return err
		}
		_, err = r.ReadBody(context.Background(), 1)
		r.Close()
		return err
	}
	assert.NilError(t, send("r1", false))
	assert.Assert(t, errors.Is(send("r2", false), ErrIncompleteResponse))
	assert.NilError(t, send("r3", false))
	client.mu.Lock()
	// staleAfter is now minStaleAfter, and an at-most-once request accepts at most half of it.
	client.idle[s.Incarnation()][0].idleSince = time.Now().Add(-minStaleAfter)
	client.mu.Unlock()
	dials := client.DialCount()
	assert.NilError(t, send("r4", true))
	assert.Equal(t, client.DialCount(), dials+1)
}

// TestErrNotSentOnlyBeforeFirstByte guards against a missing ErrNotSent after a refused connection, and against ErrNotSent
// for a request that the backend server has read.
func TestErrNotSentOnlyBeforeFirstByte(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &fleet.Server{ID: "s", Address: ln.Addr().String()}
	assert.NilError(t, ln.Close())
	_, err = NewClient(ClientConfig{}).Do(context.Background(), newCall(s, "r", true))
	assert.Assert(t, errors.Is(err, ErrNotSent))
	readOnlyServer := startScriptedServer(t, func(_ int, _ net.Conn, br *bufio.Reader) { _, _ = readRequest(br) })
	_, err = NewClient(ClientConfig{}).Do(context.Background(), newCall(readOnlyServer, "r", true))
	assert.Assert(t, errors.Is(err, ErrIncompleteResponse))
}

// TestDeadlineDoesNotReviveCancelledCall guards against a cancelled call that goes on because a later deadline is set.
func TestDeadlineDoesNotReviveCancelledCall(t *testing.T) {
	s := startScriptedServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if id, err := readRequest(br); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nId: "+id+"\r\n\r\n")
			_, _ = readRequest(br)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := NewClient(ClientConfig{}).Do(ctx, newCall(s, "r", false))
	assert.NilError(t, err)
	defer r.Close()
	cancel()
	time.Sleep(50 * time.Millisecond)
	cancelled := time.Now()
	r.SetReadDeadline(cancelled.Add(2 * time.Second))
	_, err = r.ReadBody(context.Background(), 1<<20)
	assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%v", err)
	assert.Assert(t, time.Since(cancelled) < time.Second)
}

// TestInterimResponsesAreSkipped guards against a request that fails, or never ends, because of interim responses.
func TestInterimResponsesAreSkipped(t *testing.T) {
	tests := []struct {
		name    string
		interim int
		err     error
	}{{"several", 8, nil}, {"without an end", 1000, ErrUnexpectedResponse}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startScriptedServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				id, err := readRequest(br)
				if err != nil {
					return
				}
				for range test.interim {
					_, _ = io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n")
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: "+id+"\r\n\r\n")
			})
			r, err := NewClient(ClientConfig{}).Do(context.Background(), newCall(s, "r", false))
			if test.err != nil {
				assert.Assert(t, errors.Is(err, test.err), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, r.Header.StatusCode(), 200)
			r.Close()
		})
	}
}

// TestDisconnectionIsRecognised guards against a crash of a backend server that is taken for another failed answer, and the
// other way round.
func TestDisconnectionIsRecognised(t *testing.T) {
	tests := []struct {
		name         string
		answer       string
		reset        bool
		disconnected bool
	}{
		{"no answer", "", false, true},
		{"reset before the answer", "", true, true},
		{"within the header", "HTTP/1.1 200 OK\r\nConten", false, true},
		{"before the body", "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n", false, true},
		{"within the body", "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabc", false, true},
		{"within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nabc", false, true},
		{"reset without framing", "HTTP/1.1 200 OK\r\n\r\nabc", true, true},
		{"malformed chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\nabcdefgh", false, false},
		{"body above the limit", "HTTP/1.1 200 OK\r\nContent-Length: 80\r\n\r\nabc", false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = ln.Close() }()
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 4096))
				_, _ = c.Write([]byte(test.answer))
				if test.reset {
					time.Sleep(20 * time.Millisecond) // The answer is read before the reset.
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			}()
			server := &fleet.Server{ID: "b", Address: ln.Addr().String()}
			resp, err := NewClient(ClientConfig{}).Do(t.Context(), Call{
				Server: server, Header: RequestHeader{Method: "GET", Path: "/", Host: "h"}, Deadline: time.Now().Add(10 * time.Second),
				Matches: func(*fasthttp.ResponseHeader) bool { return true },
			})
			if err == nil {
				_, err = resp.ReadBody(context.Background(), 64)
				resp.Close()
			}
			assert.Assert(t, errors.Is(err, ErrIncompleteResponse), "%v", err)
			assert.Equal(t, errors.Is(err, ErrDisconnected), test.disconnected, "%v", err)
		})
	}
}

// TestIsDown guards against a crashed backend server that counts as running, also behind a proxy that accepts its connections, and
// against a running one that counts as crashed.
func TestIsDown(t *testing.T) {
	tests := []struct {
		name   string
		accept func(c net.Conn)
		want   bool
	}{
		{"running", func(net.Conn) {}, false},
		{"proxy without a backend server", func(c net.Conn) { _ = c.Close() }, true},
		{"reset", func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, true},
		{"refused", nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = ln.Close() }()
			if test.accept == nil {
				_ = ln.Close()
			} else {
				go func() {
					if c, err := ln.Accept(); err == nil {
						test.accept(c)
					}
				}()
			}
			assert.Equal(t, NewClient(ClientConfig{}).IsDown(t.Context(), &fleet.Server{Address: ln.Addr().String()}), test.want)
		})
	}
}
