package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// startServer starts a server with a handler and returns it with a connection to it.
func startServer(t *testing.T, handle func(e *Exchange)) (*Server, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(ServerConfig{
		Listener: ln, Limits: func() fleet.Limits { return fleet.Limits{} }, Handle: handle, Log: zerolog.Nop(),
	})
	c, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = c.Close()
		s.Close()
		<-s.Done()
	})
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return s, c
}

// roundTrip sends a request on a connection and reads the response with its body.
func roundTrip(c net.Conn, br *bufio.Reader) (*http.Response, error) {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// TestDrainDuringResponseKeepsAnnouncedConnection guards against the loss of the next request on a connection left open.
func TestDrainDuringResponseKeepsAnnouncedConnection(t *testing.T) {
	var s *Server
	s, c := startServer(t, func(e *Exchange) {
		e.Begin(ResponseHeader{Status: 200}, true)
		s.Drain()
		e.End()
	})
	br := bufio.NewReader(c)
	resp, err := roundTrip(c, br)
	assert.NilError(t, err)
	assert.Assert(t, !resp.Close)
	resp, err = roundTrip(c, br)
	assert.NilError(t, err)
	assert.Assert(t, resp.Close)
}

// TestPanicDoesNotCompleteResponse guards against a cut response that looks complete after a panic.
func TestPanicDoesNotCompleteResponse(t *testing.T) {
	_, c := startServer(t, func(e *Exchange) {
		e.Begin(ResponseHeader{Status: 200}, false)
		_ = e.Send([]byte("first part"))
		panic("handler failed")
	})
	_, err := roundTrip(c, bufio.NewReader(c))
	assert.ErrorContains(t, err, "reset")
}
