package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCutHeadIsNoResponse guards against a response that ends within its head and is passed on as a whole one, with an empty or
// a short body.
func TestCutHeadIsNoResponse(t *testing.T) {
	tests := []struct{ name, head string }{
		{"length", "HTTP/1.1 200 OK\r\nSeal: s\r\nId: r\r\nContent-Length: 120\r\nKeep-Alive: timeout=10\r\n\r\n"},
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: r\r\nSeal: s\r\n\r\n"},
		{"no body", "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\nSeal: s\r\n\r\n"},
		{"no framing", "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n"},
		{"bare line feeds", "HTTP/1.1 200 OK\nId: r\nContent-Length: 12\nSeal: s\n\n"},
		{"interim response", "HTTP/1.1 103 Early Hints\r\nId: r\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 12\r\n\r\n"},
		{"response to another request", "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: r\r\n\r\n"},
	}
	ends := []struct {
		name string
		send func(c net.Conn, head string)
	}{
		{"closed", func(c net.Conn, head string) { _, _ = io.WriteString(c, head) }},
		{"closed after a pause", func(c net.Conn, head string) {
			_, _ = io.WriteString(c, head[:len(head)/2])
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(c, head[len(head)/2:])
		}},
		{"reset", func(c net.Conn, head string) {
			_, _ = io.WriteString(c, head)
			_ = c.(*net.TCPConn).SetLinger(0)
		}},
	}
	for _, test := range tests {
		for _, end := range ends {
			t.Run(test.name+"/"+end.name, func(t *testing.T) {
				for n := range len(test.head) {
					s := startScriptedServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
						if _, err := readRequest(br); err == nil {
							end.send(c, test.head[:n])
						}
					})
					r, err := NewClient(ClientConfig{}).Do(context.Background(), newCall(s, "r", false))
					if err == nil {
						r.Close()
					}
					assert.Assert(t, errors.Is(err, ErrIncompleteResponse) || errors.Is(err, ErrUnexpectedResponse),
						"head cut after %q: %v", test.head[:n], err)
				}
			})
		}
	}
}

// TestCutRequestIsNotHandled guards against a request that ends within its head or body and is passed on as a whole one.
func TestCutRequestIsNotHandled(t *testing.T) {
	tests := []struct{ name, request string }{
		{"no body", "GET /a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n\r\n"},
		{"length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\nhello, world"},
		{"chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"},
		{"trailer", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for n := 1; n < len(test.request); n++ {
				handled := make(chan string, 1)
				_, c := startServer(t, func(e *Exchange) {
					handled <- fmt.Sprintf("%s with body %q", e.RequestURI(), e.Body)
					e.Reply(ResponseHeader{Status: 200}, nil)
				})
				_, err := io.WriteString(c, test.request[:n])
				assert.NilError(t, err)
				assert.NilError(t, c.(*net.TCPConn).CloseWrite())
				answer, err := io.ReadAll(c)
				assert.NilError(t, err)
				assert.Assert(t, !strings.HasPrefix(string(answer), "HTTP/1.1 2"), "request cut after %q: %q", test.request[:n], answer)
				assert.Equal(t, len(handled), 0, "request cut after %q", test.request[:n])
			}
		})
	}
}
