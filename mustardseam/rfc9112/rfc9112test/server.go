// Package rfc9112test provides malformed HTTP/1.1 responses and a server that sends them, for the tests of clients.
package rfc9112test

import (
	"fmt"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Response is a response to any request.
type Response struct {
	Name  string
	Bytes string
}

// Malformed returns responses with a body of which a lenient parser takes some for a success.
func Malformed(body string) []Response {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	const ok = "HTTP/1.1 200 OK\r\n"
	return []Response{
		{"status 000", "HTTP/1.1 000 OK\r\n" + length + "\r\n" + body},
		{"blank in a name", ok + length + "X A: b\r\n\r\n" + body},
		{"blank after a name", ok + length + "X-A : b\r\n\r\n" + body},
		{"blank in the name of the length", ok + "Content Length: 1\r\nConnection: close\r\n\r\n" + body},
		{"control byte in a name", ok + length + "X\x01A: b\r\n\r\n" + body},
		{"control byte in a value", ok + length + "X-A: \x01\r\n\r\n" + body},
		{"two lengths", ok + length + length + "\r\n" + body},
		{"chunk size with a sign", ok + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("+%x\r\n%s\r\n0\r\n\r\n", len(body), body)},
		{"trailer without a colon", ok + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\nX-A\r\n\r\n", len(body), body)},
		{"broken interim response", "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + ok + length + "\r\n" + body},
	}
}

// Sound returns an ordinary response with the body.
func Sound(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// StartServer starts a server that sends a response to each read of a request and then closes the connection, and returns its
// address. Requests must fit into 64 KiB.
func StartServer(t *testing.T, response string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := c.Read(make([]byte, 64<<10)); err == nil {
					_, _ = io.WriteString(c, response)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// Check calls a client with the address of a server that sends a sound response with the body, which must succeed, and of one for
// each malformed response, which must fail.
func Check(t *testing.T, body string, call func(addr string) error) {
	t.Helper()
	assert.NilError(t, call(StartServer(t, Sound(body))))
	for _, r := range Malformed(body) {
		t.Run(r.Name, func(t *testing.T) {
			assert.Assert(t, call(StartServer(t, r.Bytes)) != nil, "the client takes a malformed response for a success")
		})
	}
}
