package engine

import (
	"bufio"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCutHeadIsNoStream guards against a response that ends within its head and is taken for the beginning of a stream.
func TestCutHeadIsNoStream(t *testing.T) {
	c := New(Config{IdleTimeout: 10 * time.Second})
	t.Cleanup(c.Close)
	for n := range len(sseHeader) {
		addr := serve(t, func(c net.Conn, r *bufio.Reader) { respond(c, r, sseHeader[:n]) })
		s, err := c.Start(Call{Address: addr, Path: "/v1/completions", ID: "r", Deadline: time.Now().Add(10 * time.Second)})
		if err == nil {
			s.Close()
		}
		assert.Check(t, err != nil, "head cut after %q", sseHeader[:n])
	}
}
