package http1

import (
	"bufio"
	"context"
	"strconv"
	"sync"
	"time"
)

// Exchange is a request of a caller and its response. It is not safe for concurrent use.
type Exchange struct {
	Request
	ReceivedAt time.Time       // Time at which the request was read completely, with a monotonic clock reading.
	Context    context.Context // Cancelled with the cause ErrCallerGone if the caller closes the connection.

	conn       *serverConn
	bw         *bufio.Writer
	headerSent bool // The response header was written.
	hasBody    bool // The response header that was written can be followed by a body.
	untilClose bool // The response body ends when the connection is closed.
	// closeAnnounced is true if the response header told the caller that the connection is closed after the response.
	closeAnnounced bool
	complete       bool // The whole response was written.
	failed         bool // A write failed or the response was aborted.
}

// writers holds writers of exchanges that have ended, so that connections without a request need none.
var writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// newExchange returns the exchange for a request that was read just now.
func newExchange(c *serverConn, r Request) *Exchange {
	w := writers.Get().(*bufio.Writer)
	w.Reset(c.conn)
	return &Exchange{Request: r, ReceivedAt: time.Now(), conn: c, bw: w}
}

// releaseWriter ends the use of the writer. Nothing can be sent after it.
func (e *Exchange) releaseWriter() {
	e.bw.Reset(nil)
	writers.Put(e.bw)
	e.bw = nil
}

// HeaderSent reports whether the response header was written.
func (e *Exchange) HeaderSent() bool { return e.headerSent }

// ReleaseBody ends the use of the request body, so that its memory is free while the response is sent.
func (e *Exchange) ReleaseBody() {
	e.conn.release(int64(cap(e.Body)))
	e.Body = nil
}

// Reply sends a complete response with a Content-Length.
func (e *Exchange) Reply(h ResponseHeader, body []byte) {
	defer e.conn.beginSending(len(body))()
	e.writeHeader(h, len(body))
	e.writeBody(body)
	e.complete = true
	e.flush()
}

// ReplyUntilClose sends a complete response without a Content-Length and closes the connection after it. It is for a body
// that was itself received without a length: that body may have been cut off, and a length would declare it complete.
func (e *Exchange) ReplyUntilClose(h ResponseHeader, body []byte) {
	defer e.conn.beginSending(len(body))()
	e.beginUntilClose(h)
	e.writeBody(body)
	e.End()
}

// Begin starts a response of unknown length. If selfDelimited is true, the body is chunked, so that the caller can detect
// a truncated response; otherwise the body ends when the connection is closed.
func (e *Exchange) Begin(h ResponseHeader, selfDelimited bool) {
	if selfDelimited {
		e.writeHeader(h, framingChunked)
	} else {
		e.beginUntilClose(h)
	}
	e.flush()
}

// beginUntilClose writes the header of a response whose body ends when the connection is closed.
func (e *Exchange) beginUntilClose(h ResponseHeader) {
	e.untilClose = true
	// If the process ends before the response does, the system must not end the connection as if the response were complete.
	e.conn.setLinger(0)
	e.writeHeader(h, framingUntilClose)
}

// SelfDelimited reports whether the caller can detect that the response started with Begin is truncated.
func (e *Exchange) SelfDelimited() bool { return !e.untilClose }

// Send sends a part of the body of a response started with Begin. It returns ErrCallerGone if the caller has disconnected.
func (e *Exchange) Send(chunk []byte) error {
	switch {
	case len(chunk) == 0 || !e.hasBody:
	case e.untilClose:
		e.write(chunk)
		e.flush()
	default:
		e.write(strconv.AppendInt(nil, int64(len(chunk)), 16))
		e.write([]byte("\r\n"))
		e.write(chunk)
		e.write([]byte("\r\n"))
		e.flush()
	}
	if e.failed {
		return ErrCallerGone
	}
	return nil
}

// End completes a response started with Begin.
func (e *Exchange) End() {
	if !e.untilClose {
		e.writeBody([]byte("0\r\n\r\n"))
	}
	e.complete = true
	e.flush()
	if e.untilClose && !e.failed {
		e.conn.setLinger(systemLinger)
	}
}

// Abort marks the response as failed. The connection is then reset, so that a response started with Begin does not look
// complete.
func (e *Exchange) Abort() { e.failed = true }

func (e *Exchange) writeHeader(h ResponseHeader, length int) {
	e.headerSent = true
	e.hasBody = h.allowsBody() && !e.Request.Header.IsHead()
	e.closeAnnounced = e.conn.closesAfterResponse(e.Request.Header)
	e.write(h.encode(length, e.closeAnnounced))
}

// writeBody writes bytes of the body, unless the response has none: its recipient would take them for the next response.
func (e *Exchange) writeBody(b []byte) {
	if e.hasBody {
		e.write(b)
	}
}

func (e *Exchange) write(b []byte) {
	if e.failed {
		return
	}
	if _, err := e.bw.Write(b); err != nil {
		e.failed = true
	}
}

func (e *Exchange) flush() {
	if !e.failed && e.bw.Flush() != nil {
		e.failed = true
	}
}

// completed reports whether the whole response was sent.
func (e *Exchange) completed() bool { return e.complete && !e.failed }
