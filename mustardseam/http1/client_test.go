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

// script answers each connection with a function.
func script(t *testing.T, answer func(n int, c net.Conn, br *bufio.Reader)) *fleet.Server {
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
				answer(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return &fleet.Server{ID: "s", Address: ln.Addr().String()}
}

func call(s *fleet.Server, id string, once bool) Call {
	return Call{
		Server: s, Head: RequestHead{Method: "GET", Path: "/", Host: "h", Fields: []Field{{Name: "Id", Value: id}}},
		Deadline: time.Now().Add(10 * time.Second), Once: once,
		Own: func(h *fasthttp.ResponseHeader) bool { return string(h.Peek("Id")) == id },
	}
}

func readRequest(br *bufio.Reader) (string, error) {
	var req fasthttp.Request
	err := req.Read(br)
	return string(req.Header.Peek("Id")), err
}

// TestBodies guards against bodies that are taken for whole when they are not.
func TestBodies(t *testing.T) {
	tests := []struct {
		name, answer string
		body         string
		err          error
	}{
		{"length", "Content-Length: 3\r\n\r\nabc", "abc", nil},
		{"short", "Content-Length: 4\r\n\r\nabc", "", ErrBroken},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "abc", nil},
		{"trailer", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n", "abc", nil},
		{"no last chunk", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "", ErrBroken},
		{"no end of trailer", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", "", ErrBroken},
		{"bad chunk", "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", "", ErrBroken},
		{"to the end", "\r\nabc", "abc", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := script(t, func(_ int, c net.Conn, br *bufio.Reader) {
				if _, err := readRequest(br); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: r\r\n"+test.answer)
				}
			})
			r, err := NewClient().Do(context.Background(), call(s, "r", false))
			assert.NilError(t, err)
			defer r.Close()
			b, err := r.Body(1 << 20)
			if test.err != nil {
				assert.Assert(t, errors.Is(err, test.err), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(b), test.body)
		})
	}
}

// TestStaleConnections guards against requests that may run only once and are lost on connections that backend servers
// drop without notice: once one was found reset, they take only those that were idle for less.
func TestStaleConnections(t *testing.T) {
	s := script(t, func(n int, c net.Conn, br *bufio.Reader) {
		for first := true; ; first = false {
			id, err := readRequest(br)
			if err != nil || n == 0 && !first {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\nId: "+id+"\r\n\r\n")
		}
	})
	client := NewClient()
	send := func(id string, once bool) error {
		r, err := client.Do(context.Background(), call(s, id, once))
		if err != nil {
			return err
		}
		_, err = r.Body(1)
		r.Close()
		return err
	}
	assert.NilError(t, send("r1", false))
	assert.Assert(t, errors.Is(send("r2", false), ErrBroken))
	assert.NilError(t, send("r3", false))
	client.mu.Lock()
	client.idle[s.Incarnation()][0].since = time.Now().Add(-leastStale)
	client.mu.Unlock()
	dials := client.Dials()
	assert.NilError(t, send("r4", true))
	assert.Equal(t, client.Dials(), dials+1)
}

// TestNotSent guards against a request that is called sent although nobody can have read it, or the other way round.
func TestNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &fleet.Server{ID: "s", Address: ln.Addr().String()}
	assert.NilError(t, ln.Close())
	_, err = NewClient().Do(context.Background(), call(s, "r", true))
	assert.Assert(t, errors.Is(err, ErrNotSent))
	read := script(t, func(_ int, _ net.Conn, br *bufio.Reader) { _, _ = readRequest(br) })
	_, err = NewClient().Do(context.Background(), call(read, "r", true))
	assert.Assert(t, errors.Is(err, ErrBroken))
}
