package http1

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestIdleConnectionOutlivesDeadline guards against idle connections that are closed, instead of used again, once the deadline of their
// latest request has passed.
func TestIdleConnectionOutlivesDeadline(t *testing.T) {
	var conns atomic.Int64
	s := startScriptedServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		conns.Add(1)
		for {
			id, err := readRequest(br)
			if err != nil {
				return
			}
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id); err != nil {
				return
			}
		}
	})
	client := NewClient(ClientConfig{})
	for n := range 2 {
		call := newCall(s, fmt.Sprint(n), false)
		call.Deadline = time.Now().Add(time.Second)
		r, err := client.Do(t.Context(), call)
		assert.NilError(t, err)
		body, err := r.ReadBody(t.Context(), 1<<20)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
		r.Close()
		time.Sleep(time.Until(call.Deadline.Add(50 * time.Millisecond)))
	}
	assert.Equal(t, conns.Load(), int64(1))
}
