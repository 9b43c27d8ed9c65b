package service

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCutResponseIsAnError guards against a response that ends within its head or body and is returned as a whole one.
func TestCutResponseIsAnError(t *testing.T) {
	tests := []struct{ name, response string }{
		{"length", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nhello, world"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"},
		{"interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
	}
	c := New()
	t.Cleanup(c.Close)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for n := range len(test.response) + 1 {
				addr, _ := serve(t, func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, test.response[:n]) })
				r, err := c.Do(Call{Address: addr, Method: "GET", Path: "/a", Deadline: time.Now().Add(10 * time.Second)})
				if n == len(test.response) {
					assert.NilError(t, err)
					continue
				}
				assert.Check(t, err != nil, "response cut after %q: %+v", test.response[:n], r)
			}
		})
	}
}
