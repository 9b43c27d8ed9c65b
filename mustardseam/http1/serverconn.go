package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

// headerBufferSlack is the size in bytes of the large read buffer beyond the header size limit. Headers may exceed the limit
// by this size.
const headerBufferSlack = 512

// finalReadTimeout is how long an idle connection is read once more before it is closed, in case a request has just
// arrived.
const finalReadTimeout = time.Millisecond

// smallReaderBytes is the size of the read buffer of a connection whose request header is not longer. Nearly all are shorter.
const smallReaderBytes = 4 << 10

// connPhase is what a connection is doing.
type connPhase int

const (
	phaseIdle     connPhase = iota // It waits for a request.
	phaseReading                   // It reads a request, which may still be refused.
	phaseHandling                  // The request was passed on, so it gets an answer.
)

// serverConn is a connection from a caller.
type serverConn struct {
	server *Server
	conn   net.Conn
	// br reads from the connection. It is replaced by a larger one while a request needs it.
	br    *bufio.Reader
	small *bufio.Reader
	large int64 // Bytes reserved for br if it is not small.
	// interrupted receives a value when the request that is being read is evicted.
	interrupted  chan struct{}
	held         atomic.Int64 // Bytes reserved for the current request.
	progressAt   atomic.Int64 // Time of the last byte of the current request, as returned by Server.now.
	mu           sync.Mutex
	phase        connPhase // Guarded by mu.
	evicted      bool      // The request that is being read must be refused; guarded by mu.
	idleSince    time.Time // Start of the current or latest wait for a request; guarded by mu.
	served       bool      // A request was passed on; guarded by mu.
	replaced     bool      // The idle connection must be closed to make room for another; guarded by mu.
	sending      int64     // Length of the answer body that is being sent; guarded by mu.
	sendingSince time.Time // Time from which it has been sent; guarded by mu.
	abandoned    bool      // The answer was given up; guarded by mu.
	// closeWhenIdle is true if the connection must be closed when it is idle after Server.CloseIdle. It is set when the
	// first wait for a request ends, with or without a request. Used by the goroutine of the connection only.
	closeWhenIdle bool
}

func newServerConn(s *Server, raw net.Conn) *serverConn {
	c := &serverConn{server: s, conn: raw, small: bufio.NewReaderSize(raw, smallReaderBytes), interrupted: make(chan struct{}, 1)}
	c.br = c.small
	return c
}

func (c *serverConn) serve() {
	defer c.server.removeConn(c)
	defer func() { _ = c.conn.Close() }()
	defer c.releaseAll()
	c.logPanic(panics.Try(c.serveRequests))
}

// serveRequests handles the requests on the connection until it ends.
func (c *serverConn) serveRequests() {
	for c.awaitRequest() {
		e, status := c.readRequest()
		if e == nil {
			c.releaseAll()
			c.reject(status)
			return
		}
		handled := c.handle(e)
		e.releaseWriter()
		c.releaseRequest()
		if !handled || !e.completed() {
			c.resetOnClose(e)
			return
		}
		if e.untilClose {
			// Closing with unread bytes would reset the connection, and the response would look cut off.
			closeWriteAndDiscard(c.conn)
			return
		}
		if e.closeAnnounced {
			return
		}
	}
}

// resetOnClose makes the later close of a connection send a TCP RST if the response header was written but the response is
// incomplete. Without the RST, a response that ends with the connection would look complete.
func (c *serverConn) resetOnClose(e *Exchange) {
	if e.headerSent {
		c.setLinger(0)
	}
}

// systemLinger makes the system send what is left and end a connection regularly when it is closed.
const systemLinger = -1

// setLinger sets how a connection is closed: with a TCP RST for 0 seconds.
func (c *serverConn) setLinger(seconds int) {
	if nc, ok := c.conn.(interface{ NetConn() net.Conn }); ok {
		if t, ok := nc.NetConn().(*net.TCPConn); ok {
			_ = t.SetLinger(seconds) // Where the option is refused, the connection ends regularly.
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false if the connection must be closed.
func (c *serverConn) awaitRequest() bool {
	if c.br.Buffered() > 0 {
		return true
	}
	since := time.Now()
	for {
		idle := c.server.cfg.Limits().IdleTimeout
		if idle <= 0 {
			idle = defaultIdleTimeout
		}
		if c.server.mustCloseIdle(c.closeWhenIdle) || time.Since(since) >= idle || c.isReplaced() {
			return c.requestArrived()
		}
		c.beginIdle(since, since.Add(idle))
		_, err := c.br.Peek(1)
		c.endIdle()
		if err == nil {
			c.closeWhenIdle = true
			return true
		}
		c.closeWhenIdle = true
		// While the connection was idle, the idle timeout may have been raised or the server closed.
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
}

// requestArrived reports whether a request has arrived on an idle connection that is about to be closed. It reads once
// more, because the wait may have been interrupted before it read the socket.
func (c *serverConn) requestArrived() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(finalReadTimeout))
	_, err := c.br.Peek(1)
	return err == nil
}

// beginIdle records since when the connection has waited for a request and until when it does.
func (c *serverConn) beginIdle(since, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.idleSince = phaseIdle, since
	_ = c.conn.SetReadDeadline(until)
}

// endIdle records that the connection no longer waits for a request.
func (c *serverConn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseReading
	_ = c.conn.SetReadDeadline(time.Time{})
}

// interruptIdle ends the wait for a request if the connection is idle.
func (c *serverConn) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// handle handles a request and cancels its context with ErrCallerGone if the caller closes the connection meanwhile. It
// reports whether the handler returned; otherwise it panicked.
func (c *serverConn) handle(e *Exchange) bool {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	e.Context = ctx
	peerClosed, stopWatch := tcp.WatchClose(c.conn)
	handled := make(chan struct{})
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		select {
		case <-peerClosed:
			cancel(ErrCallerGone)
		case <-handled:
		}
	}()
	caught := panics.Try(func() { c.server.cfg.Handle(e) })
	c.logPanic(caught)
	close(handled)
	<-watcherDone
	stopWatch()
	return caught == nil
}

// logPanic logs a panic that ends the connection; nil means that there was none.
func (c *serverConn) logPanic(caught *panics.Recovered) {
	if caught != nil {
		c.server.cfg.Log.Error().Str("error", caught.String()).Msg("unexpected error ended a connection")
	}
}

// closesAfterResponse reports whether the connection is to be closed after the response to a request.
func (c *serverConn) closesAfterResponse(h *fasthttp.RequestHeader) bool {
	return h.ConnectionClose() || c.server.isDraining()
}

// reject sends an error response to an unacceptable request. A status of 0 sends nothing.
func (c *serverConn) reject(status int) {
	if status == 0 {
		return
	}
	h := ResponseHeader{Status: status}
	if status == fasthttp.StatusServiceUnavailable {
		h = h.WithField(fasthttp.HeaderRetryAfter, memoryRetryAfter)
	}
	if _, err := c.conn.Write(h.encode(0, true)); err != nil {
		return
	}
	// Closing with unread bytes would reset the connection, and the caller might lose the response.
	closeWriteAndDiscard(c.conn)
}

// isConnClosed reports whether an error means that the connection was closed or has failed.
func isConnClosed(err error) bool {
	var opErr *net.OpError
	return errors.Is(err, net.ErrClosed) || errors.As(err, &opErr) || isEOF(err)
}

// isEOF reports whether a reader reached the end of its input. It also looks at the error text, because fasthttp does not
// wrap io.EOF everywhere.
func isEOF(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || strings.Contains(err.Error(), "EOF")
}
