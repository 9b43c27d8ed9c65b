package engine

import (
	"bufio"
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
	// The HTTP client ends these goroutines some seconds after its last connection.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

// serve handles connections on loopback with the handler until the end of the test and returns the address.
func serve(t testing.TB, handler func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				handler(c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		wg.Wait()
	})
	return ln.Addr().String()
}

// respond reads one request and writes the response. It reports whether both succeeded.
func respond(c net.Conn, r *bufio.Reader, response string) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, err = io.WriteString(c, response)
	return err == nil
}

// resetConnection closes the connection with a reset instead of an orderly close.
func resetConnection(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// unusedAddress returns an address at which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func newClient(t testing.TB, cfg Config) *Client {
	t.Helper()
	if cfg.PollTimeout == 0 {
		cfg.PollTimeout = 5 * time.Second
	}
	c := New(cfg)
	t.Cleanup(c.Close)
	return c
}
