package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a stand-in of a caller that keeps one connection open.
type client struct {
	addr string
	conn net.Conn
	br   *bufio.Reader
}

// clientAnswer is what a caller got.
type clientAnswer struct {
	status int
	seal   string
	id     string
	header http.Header
	body   []byte
	err    error // The answer did not arrive, or not as a whole.
}

// call sends a request and reads the answer.
func (c *client) call(method, path, id string, body string, deadline time.Duration, extra ...string) clientAnswer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			return clientAnswer{err: err}
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nMustardseam-Request-Id: %s\r\nMustardseam-Deadline-Ms: %d\r\n", method, path, id, deadline.Milliseconds())
	for _, h := range extra {
		head += h + "\r\n"
	}
	if body != "" || method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"+body); err != nil {
		c.close()
		return clientAnswer{err: err}
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		c.close()
		return clientAnswer{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	a := clientAnswer{
		status: resp.StatusCode, seal: resp.Header.Get("Mustardseam-Response-Seal"), id: resp.Header.Get("Mustardseam-Request-Id"),
		header: resp.Header, body: b, err: err,
	}
	if err != nil || resp.Close {
		c.close()
	}
	return a
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.br = nil, nil
}
