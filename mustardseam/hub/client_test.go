package hub

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReportAfterRestartOfHub guards against an instance that leaves a hub which has just started again, because the connection
// that it kept was closed with the former process. Two groups with a hub each would then both use the whole quotas.
func TestReportAfterRestartOfHub(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			// The connection ends after one answer although nothing announced that.
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 13\r\n\r\n{\"hub\":\"hub\"}"))
				_ = r.Body.Close()
			}
			_ = c.Close()
		}
	}()
	client := NewClient()
	for n := range 5 {
		resp, err := client.Report(ln.Addr().String(), Report{Instance: "n1", Run: 1, Sequence: int64(n + 1), Revision: 1})
		assert.NilError(t, err, "report %d", n)
		assert.Equal(t, resp.Hub, "hub")
	}
}
