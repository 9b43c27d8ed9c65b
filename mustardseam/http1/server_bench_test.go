package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// BenchmarkServer measures the reading of ordinary requests on a kept connection and on new ones.
func BenchmarkServer(b *testing.B) {
	header := "POST /path HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nMustardseam-Request-Id: r\r\n" +
		"Mustardseam-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nContent-Type: application/json\r\n" +
		"Accept: */*\r\nUser-Agent: caller\r\nContent-Length: "
	tests := []struct {
		name string
		body int
		kept bool
	}{{"empty", 0, true}, {"10 KB", 10 << 10, true}, {"100 KB", 100 << 10, true}, {"new connection", 1 << 10, false}}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			s := NewServer(ServerConfig{
				Listener: ln, Limits: func() fleet.Limits { return fleet.Limits{} }, Log: zerolog.Nop(),
				Handle: func(e *Exchange) { e.Reply(ResponseHeader{Status: 200}, e.Body[:0]) },
			})
			defer s.Close()
			request := header + strconv.Itoa(test.body) + "\r\n\r\n" + strings.Repeat("x", test.body)
			var c net.Conn
			var br *bufio.Reader
			b.ReportAllocs()
			for b.Loop() {
				if c == nil {
					c, err = net.Dial("tcp", ln.Addr().String())
					assert.NilError(b, err)
					br = bufio.NewReader(c)
				}
				_, err = io.WriteString(c, request)
				assert.NilError(b, err)
				_, err := http.ReadResponse(br, nil)
				assert.NilError(b, err)
				if !test.kept {
					_ = c.Close()
					c = nil
				}
			}
			if c != nil {
				_ = c.Close()
			}
		})
	}
}
