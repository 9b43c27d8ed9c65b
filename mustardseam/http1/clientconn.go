package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// responseHeaderBytes bounds the header of an answer.
	responseHeaderBytes = 16 << 10
	// maxForeign bounds the answers to earlier requests that are skipped on a connection.
	maxForeign = 3
	// foreignBytes bounds the body of a skipped answer.
	foreignBytes = 1 << 20
)

// clientConn is a connection to a backend server.
type clientConn struct {
	conn    net.Conn
	br      *bufio.Reader
	keep    time.Duration // How long the peer lets the connection be idle.
	since   time.Time     // Of the idle time.
	expires time.Time
	reused  bool
}

func newClientConn(raw net.Conn) *clientConn {
	return &clientConn{conn: raw, br: bufio.NewReaderSize(raw, responseHeaderBytes), keep: idleDefault}
}

func (c *clientConn) close() { _ = c.conn.Close() }

// interrupt ends a read or write that waits.
func (c *clientConn) interrupt() { _ = c.conn.SetDeadline(time.Unix(1, 0)) }

// quiet reports whether an idle connection is open and has no bytes to read, which would belong to no request.
func (c *clientConn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// send writes the request.
func (c *clientConn) send(call Call) error {
	_ = c.conn.SetDeadline(call.Deadline)
	w := &countingWriter{w: c.conn}
	bw := bufio.NewWriterSize(w, len(call.Body)+responseHeaderBytes)
	_, err := bw.Write(call.Head.bytes(len(call.Body)))
	if err == nil {
		_, err = bw.Write(call.Body)
	}
	if err == nil {
		err = bw.Flush()
	}
	switch {
	case err == nil:
		return nil
	case w.n == 0:
		return eris.Wrapf(ErrNotSent, "send to backend server %s: %v", call.Server.ID, err)
	}
	return eris.Wrapf(ErrBroken, "send to backend server %s: %v", call.Server.ID, err)
}

// receive reads the header of the answer; answers to earlier requests that come late are skipped.
func (c *clientConn) receive(call Call) (*Response, error) {
	for range maxForeign {
		r := &Response{conn: c}
		if err := r.Header.Read(c.br); err != nil {
			return nil, eris.Wrapf(ErrBroken, "read answer of backend server %s: %v", call.Server.ID, err)
		}
		if code := r.Header.StatusCode(); code >= 100 && code < 200 {
			continue
		}
		r.open(call.Head.Method == fasthttp.MethodHead)
		if call.Own(&r.Header) {
			c.keepAlive(&r.Header)
			return r, nil
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(r.body, foreignBytes)); err != nil || n >= foreignBytes {
			break
		}
	}
	return nil, eris.Wrapf(ErrForeign, "read answer of backend server %s", call.Server.ID)
}

// keepAlive takes in how long the peer lets the connection be idle, in whole seconds (RFC 2068 section 19.7.1).
func (c *clientConn) keepAlive(h *fasthttp.ResponseHeader) {
	for part := range strings.SplitSeq(string(h.Peek("Keep-Alive")), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if s, err := strconv.Atoi(value); ok && err == nil {
			c.keep = max(0, time.Duration(s)*time.Second-idleMargin)
		}
	}
}

// countingWriter counts the bytes that were written.
type countingWriter struct {
	w io.Writer
	n int
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.w.Write(b)
	w.n += n
	return n, err
}
