package http1

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// TestConnectionWithoutRequestIsReplaced guards against connections without a request that keep others out, and against the
// replacement of kept connections that a caller within the limits may still use.
func TestConnectionWithoutRequestIsReplaced(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(ServerConfig{
		Listener: ln, MaxConns: 4, Log: zerolog.Nop(), Handle: func(e *Exchange) { e.Reply(ResponseHeader{Status: 200}, nil) },
		Limits: func() fleet.Limits {
			return fleet.Limits{HeaderTimeout: 10 * time.Millisecond, IdleTimeout: time.Hour}
		},
	})
	t.Cleanup(func() {
		s.Close()
		<-s.Done()
	})
	addr := ln.Addr().String()
	const request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	kept, keptReader := dial(t, addr)
	for range 2 {
		_, err = io.WriteString(kept, request)
		assert.NilError(t, err)
		status, _ := statusOf(keptReader)
		assert.Equal(t, status, 200)
	}
	for range 3 {
		dial(t, addr)
	}
	// The three unused connections give way, one for each new one.
	for range 3 {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			c, br := dial(t, addr)
			if _, err := io.WriteString(c, request); err != nil {
				return poll.Continue("%v", err)
			}
			if status, _ := statusOf(br); status != 200 {
				return poll.Continue("status %d", status)
			}
			return poll.Success()
		}, poll.WithDelay(20*time.Millisecond))
	}
	assert.Equal(t, s.Stats().ReplacedConns, int64(3))
	_, err = io.WriteString(kept, request)
	assert.NilError(t, err)
	status, _ := statusOf(keptReader)
	assert.Equal(t, status, 200)
	// All four are kept connections now.
	c, br := dial(t, addr)
	_, _ = io.WriteString(c, request)
	status, _ = statusOf(br)
	assert.Equal(t, status, 0)
}

// TestOneAddressDoesNotKeepOthersOut guards against kept connections of one address that take all places, and against an
// address that takes a place from another one that has no more than half of them.
func TestOneAddressDoesNotKeepOthersOut(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(ServerConfig{
		Listener: ln, MaxConns: 4, Log: zerolog.Nop(), Handle: func(e *Exchange) { e.Reply(ResponseHeader{Status: 200}, nil) },
		Limits: func() fleet.Limits { return fleet.Limits{IdleTimeout: time.Hour} },
	})
	t.Cleanup(func() {
		s.Close()
		<-s.Done()
	})
	// call sends a request on a new connection from an address and returns the status of the answer, 0 for none.
	call := func(address string) int {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
		c, err := d.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
		_, _ = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		status, _ := statusOf(bufio.NewReader(c))
		return status
	}
	waitUntil := func(status int, address string) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if got := call(address); got != status {
				return poll.Continue("status %d", got)
			}
			return poll.Success()
		}, poll.WithDelay(20*time.Millisecond))
	}
	for range 4 {
		assert.Equal(t, call("127.0.0.1"), 200)
	}
	assert.Equal(t, call("127.0.0.1"), 0)
	waitUntil(200, "127.0.0.2")
	waitUntil(200, "127.0.0.2")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := s.OpenConns(); n != 4 {
			return poll.Continue("%d connections", n)
		}
		return poll.Success()
	})
	assert.Equal(t, call("127.0.0.2"), 0)
	assert.Equal(t, call("127.0.0.3"), 0)
	assert.Equal(t, s.Stats().ReplacedConns, int64(2))
}
