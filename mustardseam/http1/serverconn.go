package http1

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

// headerSlack is the room beyond the limit on headers that lets fasthttp tell a header that is too large.
const headerSlack = 512

// lastLook is how long an idle connection is read before it is closed, in case a request has just arrived.
const lastLook = time.Millisecond

// serverConn is a connection of a caller.
type serverConn struct {
	server *Server
	conn   net.Conn
	br     *bufio.Reader
	bw     *bufio.Writer
	mu     sync.Mutex
	idle   bool // Waits for a request; guarded by mu.
	used   bool // Had a request, or waited when idle connections were closed.
}

func newServerConn(s *Server, raw net.Conn) *serverConn {
	size := s.cfg.Limits().HeaderBytes
	if size <= 0 {
		size = defaultHeaderBytes
	}
	return &serverConn{
		server: s, conn: raw, br: bufio.NewReaderSize(raw, size+headerSlack), bw: bufio.NewWriter(raw),
	}
}

func (c *serverConn) serve() {
	defer c.server.forget(c)
	defer func() { _ = c.conn.Close() }()
	if caught := panics.Try(c.serveRequests); caught != nil {
		c.server.cfg.Log.Error().Str("error", caught.String()).Msg("unexpected error ended a connection")
	}
}

// serveRequests answers the requests on the connection until it ends.
func (c *serverConn) serveRequests() {
	for c.awaitRequest() {
		e, status := c.read()
		if e == nil {
			c.refuse(status)
			return
		}
		c.handle(e)
		last := c.closing(e.Request.Header)
		if !e.reusable() {
			c.breakOff(e)
			return
		}
		if e.toEnd {
			// A close with unread bytes would reset the connection, and the answer would look cut.
			drainInput(c.conn)
			return
		}
		if last {
			return
		}
	}
}

// breakOff ends a connection whose answer is not complete. A reset keeps an answer without a length from looking whole.
func (c *serverConn) breakOff(e *Exchange) {
	if nc, ok := c.conn.(interface{ NetConn() net.Conn }); ok && e.started {
		if t, ok := nc.NetConn().(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
}

// awaitRequest waits for the first byte of a request; it is false when the connection is to be closed.
func (c *serverConn) awaitRequest() bool {
	if c.br.Buffered() > 0 {
		return true
	}
	since := time.Now()
	for {
		idle := c.server.cfg.Limits().IdleTimeout
		if idle <= 0 {
			idle = defaultIdleTime
		}
		if c.server.closesIdle(c.used) || time.Since(since) >= idle {
			return c.arrived()
		}
		c.setIdle(true, since.Add(idle))
		_, err := c.br.Peek(1)
		c.setIdle(false, time.Time{})
		if err == nil {
			c.used = true
			return true
		}
		c.used = true
		// The limit may have been raised, or the server closed, while the connection was idle.
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
}

// arrived reports whether a request has come that crosses the close of an idle connection. The wait may have ended before it
// looked.
func (c *serverConn) arrived() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(lastLook))
	_, err := c.br.Peek(1)
	return err == nil
}

// setIdle says whether the connection waits for a request, and until when.
func (c *serverConn) setIdle(idle bool, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	_ = c.conn.SetReadDeadline(until)
}

// wake ends the wait of an idle connection.
func (c *serverConn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// read reads a request; when there is none, the status says how to answer, 0 for not at all.
func (c *serverConn) read() (*Exchange, int) {
	limits := c.server.cfg.Limits()
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTime
	}
	if limits.BodyBytes <= 0 {
		limits.BodyBytes = defaultBodyBytes
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	var req fasthttp.Request
	if err := req.Header.Read(c.br); err != nil {
		var small *fasthttp.ErrSmallBuffer
		switch {
		case errors.As(err, &small):
			return nil, fasthttp.StatusRequestHeaderFieldsTooLarge
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, fasthttp.StatusRequestTimeout
		case isClosed(err):
			return nil, 0
		}
		return nil, fasthttp.StatusBadRequest
	}
	if checkFraming(&req.Header) != nil {
		return nil, fasthttp.StatusBadRequest
	}
	if req.MayContinue() {
		_, _ = c.bw.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		if c.bw.Flush() != nil {
			return nil, 0
		}
	}
	// The body has as long as the header again; a caller that stalls for longer holds memory for nothing.
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	if err := req.ContinueReadBody(c.br, limits.BodyBytes, false); err != nil {
		switch {
		case errors.Is(err, fasthttp.ErrBodyTooLarge):
			return nil, fasthttp.StatusRequestEntityTooLarge
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, fasthttp.StatusRequestTimeout
		case isClosed(err):
			return nil, 0
		}
		return nil, fasthttp.StatusBadRequest
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	return &Exchange{Request: Request{Header: &req.Header, Body: req.Body()}, Arrived: time.Now(), conn: c, bw: c.bw}, 0
}

// handle answers a request while it watches whether the caller is still there.
func (c *serverConn) handle(e *Exchange) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	e.Context = ctx
	gone, stop := tcp.Watch(c.conn)
	answered := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case <-gone:
			cancel(ErrGone)
		case <-answered:
		}
	}()
	c.server.cfg.Handle(e)
	close(answered)
	<-watched
	stop()
}

// closing reports whether the connection ends after the answer to a request.
func (c *serverConn) closing(h *fasthttp.RequestHeader) bool {
	return h.ConnectionClose() || c.server.isDraining()
}

// refuse answers bytes that are no acceptable request and ends the connection.
func (c *serverConn) refuse(status int) {
	if status == 0 {
		return
	}
	if _, err := c.bw.Write(Head{Status: status}.bytes(0, true)); err != nil {
		return
	}
	if c.bw.Flush() != nil {
		return
	}
	// A close with unread bytes would reset the connection and could take the answer back.
	drainInput(c.conn)
}

// isClosed reports whether an error says that the peer has ended the connection.
func isClosed(err error) bool {
	var op *net.OpError
	return errors.Is(err, net.ErrClosed) || errors.As(err, &op) || isEOF(err)
}
