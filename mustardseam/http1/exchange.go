package http1

import (
	"bufio"
	"context"
	"strconv"
	"time"
)

// Exchange is a request of a caller together with the means to answer it; it belongs to one goroutine.
type Exchange struct {
	Request
	Arrived time.Time       // Steady clock; when the whole request had been read.
	Context context.Context // Ends with ErrGone as its cause when the caller has gone.

	conn    *serverConn
	bw      *bufio.Writer
	started bool
	toEnd   bool // The answer ends with the connection.
	ended   bool
	failed  bool
}

// Started reports whether the caller has got the header of an answer.
func (e *Exchange) Started() bool { return e.started }

// Reply answers with a body in one piece.
func (e *Exchange) Reply(h Head, body []byte) {
	e.header(h, len(body))
	if !e.Request.Header.IsHead() {
		e.write(body)
	}
	e.ended = true
	e.flush()
}

// ReplyToEnd answers with a body that ends with the connection. A body that came in this way may have been cut, and a
// length would say that it was not.
func (e *Exchange) ReplyToEnd(h Head, body []byte) {
	e.toEnd = true
	e.header(h, toEnd)
	if !e.Request.Header.IsHead() {
		e.write(body)
	}
	e.ended = true
	e.flush()
}

// Begin starts an answer whose length is not known. It ends with the connection unless framed says that the caller is to
// see whether it is complete.
func (e *Exchange) Begin(h Head, framed bool) {
	e.toEnd = !framed
	if framed {
		e.header(h, chunked)
	} else {
		e.header(h, toEnd)
	}
	e.flush()
}

// Framed reports whether an answer that was begun shows the caller whether it is complete.
func (e *Exchange) Framed() bool { return !e.toEnd }

// Send sends a piece of an answer that was begun; the error says that the caller has gone.
func (e *Exchange) Send(piece []byte) error {
	switch {
	case len(piece) == 0:
	case e.toEnd:
		e.write(piece)
		e.flush()
	default:
		e.write(strconv.AppendInt(nil, int64(len(piece)), 16))
		e.write([]byte("\r\n"))
		e.write(piece)
		e.write([]byte("\r\n"))
		e.flush()
	}
	if e.failed {
		return ErrGone
	}
	return nil
}

// End completes an answer that was begun.
func (e *Exchange) End() {
	if !e.toEnd {
		e.write([]byte("0\r\n\r\n"))
	}
	e.ended = true
	e.flush()
}

// Abort breaks the connection off, so that an answer that was begun does not look complete.
func (e *Exchange) Abort() { e.failed = true }

func (e *Exchange) header(h Head, length int) {
	e.started = true
	e.write(h.bytes(length, e.conn.closing(e.Request.Header)))
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

// reusable reports whether the connection may carry another request.
func (e *Exchange) reusable() bool { return e.ended && !e.failed }
