package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// maxResponseHeaderBytes is the maximum size of a response header.
	maxResponseHeaderBytes = 16 << 10
	// maxSkippedResponses limits the responses to earlier requests that are skipped before the expected response.
	maxSkippedResponses = 3
	// maxInterimResponses limits the interim responses (status 1xx) to a request.
	maxInterimResponses = 100
	// maxCopiedBodyBytes is the length up to which a body is sent in one piece with its header.
	maxCopiedBodyBytes = 64 << 10
	// maxSkippedBodyBytes is the maximum body size of a skipped response.
	maxSkippedBodyBytes = 1 << 20
)

// clientConn is a connection to a backend server.
type clientConn struct {
	conn             net.Conn
	end              *endDetector
	br               *bufio.Reader // Reads from end.
	keepAliveTimeout time.Duration // How long the connection may stay idle before the backend server closes it.
	idleSince        time.Time     // Time at which the connection last became idle.
	idleUntil        time.Time     // Time from which the idle connection is no longer used.
	reused           bool          // The connection was taken from the idle pool.
	mu               sync.Mutex    // Held while a deadline is set.
	interrupted      bool          // interrupt was called; guarded by mu.
}

func newClientConn(raw net.Conn) *clientConn {
	end := &endDetector{r: raw}
	return &clientConn{
		conn: raw, end: end, br: bufio.NewReaderSize(end, maxResponseHeaderBytes), keepAliveTimeout: defaultKeepAliveTimeout,
	}
}

func (c *clientConn) close() { _ = c.conn.Close() }

// incompleteCause returns ErrDisconnected if the backend server has ended the connection, otherwise ErrIncompleteResponse.
func (c *clientConn) incompleteCause() error {
	if c.end.ended {
		return ErrDisconnected
	}
	return ErrIncompleteResponse
}

// interrupt makes blocked and later reads and writes fail.
func (c *clientConn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.conn.SetDeadline(time.Unix(1, 0))
}

// setDeadline sets a deadline by a method of the connection, unless interrupt was called.
func (c *clientConn) setDeadline(set func(time.Time) error, t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = set(t)
	}
}

// isOpenAndEmpty reports whether an idle connection is open and has no unread bytes. Such bytes would not belong to any
// request.
func (c *clientConn) isOpenAndEmpty() bool {
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

// send writes the request. It returns ErrNotSent if no byte was written and ErrIncompleteResponse if only a part was written.
func (c *clientConn) send(call Call) error {
	c.setDeadline(c.conn.SetDeadline, call.Deadline)
	w := &countingWriter{w: c.conn}
	// A body that does not fit is written without a copy.
	bw := bufio.NewWriterSize(w, min(len(call.Body), maxCopiedBodyBytes)+maxResponseHeaderBytes)
	_, err := bw.Write(call.Header.encode(len(call.Body)))
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
		return eris.Wrapf(ErrNotSent, "send request to backend server %s: %v", call.Server.ID, err)
	}
	return eris.Wrapf(ErrIncompleteResponse, "send request to backend server %s: %v", call.Server.ID, err)
}

// receive reads the header of the response to a request of a client. It skips interim responses and late responses to earlier
// requests.
func (c *clientConn) receive(ctx context.Context, client *Client, call Call) (*Response, error) {
	for skipped, interim := 0, 0; skipped < maxSkippedResponses && interim <= maxInterimResponses; {
		r := &Response{upstream: c, client: client, server: call.Server.Incarnation(), exclusive: call.Exclusive}
		if err := c.readHead(ctx, r); err != nil {
			r.release(r.reserved)
			return nil, eris.Wrapf(c.incompleteCause(), "read answer of backend server %s: %v", call.Server.ID, err)
		}
		if r.head.IsInterim() {
			r.release(r.reserved)
			interim++
			continue
		}
		r.openBody(call.Header.Method == fasthttp.MethodHead)
		if call.Matches(&r.Header) {
			c.readKeepAlive(&r.Header)
			return r, nil
		}
		skipped++
		r.release(r.reserved)
		if n, err := io.Copy(io.Discard, io.LimitReader(r.body, maxSkippedBodyBytes)); err != nil || n >= maxSkippedBodyBytes {
			break
		}
	}
	return nil, eris.Wrapf(ErrUnexpectedResponse, "read answer of backend server %s", call.Server.ID)
}

// readKeepAlive sets keepAliveTimeout from the timeout parameter of the Keep-Alive header field, which is in whole seconds
// (RFC 2068 section 19.7.1).
func (c *clientConn) readKeepAlive(h *fasthttp.ResponseHeader) {
	for part := range strings.SplitSeq(string(h.Peek("Keep-Alive")), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if s, err := strconv.Atoi(value); ok && err == nil {
			c.keepAliveTimeout = max(0, time.Duration(s)*time.Second-keepAliveMargin)
		}
	}
}

// countingWriter counts the bytes written to w.
type countingWriter struct {
	w io.Writer
	n int
}

func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.w.Write(b)
	w.n += n
	return n, err
}
