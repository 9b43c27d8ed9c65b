package http1

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/rfc9112"
)

// Response is the response of a backend server. Close must be called when it is no longer needed.
type Response struct {
	Header fasthttp.ResponseHeader

	head          rfc9112.Head
	upstream      *clientConn
	body          io.Reader // Returns io.EOF at the end of a complete body and another error otherwise.
	complete      bool      // The body was read to its end, so the connection may be reused.
	selfDelimited bool      // The body has a Content-Length or is chunked.
	client        *Client
	server        fleet.Incarnation
	stopInterrupt func() bool // Stops the interruption of the connection when the context of the call ends.
	exclusive     bool        // The connection must not be reused for another request.
	reserved      int64       // Bytes reserved in the account of the client, until Close.
}

const (
	// maxDiscardBytes and discardTimeout limit how much of an unneeded body is read, and for how long. If the body is longer,
	// the connection is closed.
	maxDiscardBytes = 16 << 10
	discardTimeout  = 100 * time.Millisecond
	// minReadBytes is the minimum free buffer space for each read of a body.
	minReadBytes = 4 << 10
)

// openBody selects the reader for the body. A response to a HEAD request has no body.
func (r *Response) openBody(headRequest bool) {
	switch r.selfDelimited = true; {
	case headRequest || r.head.Framing == rfc9112.NoBody:
		r.body = &fixedLengthReader{r: r.upstream.br}
	case r.head.Framing == rfc9112.ByLength:
		r.body = &fixedLengthReader{r: r.upstream.br, remaining: r.head.Length}
	case r.head.Framing == rfc9112.Chunked:
		r.body = rfc9112.NewChunkedReader(r.upstream.br)
	default:
		r.body, r.selfDelimited = r.upstream.br, false
	}
}

// bodyLength returns the number of bytes that the body has if it is complete; -1 means that it is unknown.
func (r *Response) bodyLength() int64 {
	if body, ok := r.body.(*fixedLengthReader); ok {
		return body.remaining
	}
	return -1
}

// SelfDelimited reports whether the response itself indicates where its body ends, by a Content-Length or chunked coding.
func (r *Response) SelfDelimited() bool { return r.selfDelimited }

// Read reads the body. It returns io.EOF only at the end of a complete body and ErrIncompleteResponse if the body is cut off.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.complete = true
		return n, err
	}
	if err != nil {
		return n, eris.Wrapf(r.upstream.incompleteCause(), "read response body of backend server %s: %v", r.server.ID, err)
	}
	return n, nil
}

// ReadBody reads the whole body, which may have at most limit bytes. It also returns ErrIncompleteResponse if the answers
// that are held at the same time would take too much memory. The memory of the body is counted until Close.
func (r *Response) ReadBody(ctx context.Context, limit int) ([]byte, error) {
	n := r.bodyLength()
	if n > int64(limit) {
		return nil, eris.Wrapf(ErrIncompleteResponse, "response body of backend server %s has %d bytes, limit is %d",
			r.server.ID, n, limit)
	}
	var reserved int64
	b := make([]byte, 0, minReadBytes)
	for {
		if cap(b)-len(b) < minReadBytes {
			size := len(b) + max(len(b), minReadBytes)
			if n >= 0 && int64(4*len(b)) >= n {
				// The rest is allocated at once, so that the two buffers together exceed the body by no more than half.
				size = max(int(n), len(b)) + minReadBytes
			}
			if excess := int64(max(0, size-uncountedBytes)); excess > 0 {
				if err := r.reserve(ctx, excess); err != nil {
					return nil, err
				}
				b = append(make([]byte, 0, size), b...)
				r.release(reserved)
				reserved = excess
			} else {
				b = append(make([]byte, 0, size), b...)
			}
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case len(b) > limit:
			return nil, eris.Wrapf(ErrIncompleteResponse, "response body of backend server %s exceeds %d bytes", r.server.ID, limit)
		case err == io.EOF:
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}

// reserve reserves memory for the answer.
func (r *Response) reserve(ctx context.Context, bytes int64) error {
	if !r.client.answers.reserve(bytes, r.reserved+bytes > largeRequestBytes, ctx.Done()) {
		r.client.refusedAnswers.Add(1)
		return eris.Wrapf(ErrIncompleteResponse, "answer of backend server %s: answers exceed the memory limit", r.server.ID)
	}
	r.reserved += bytes
	return nil
}

func (r *Response) release(bytes int64) {
	r.reserved -= bytes
	r.client.answers.release(bytes)
}

// DiscardBody reads and discards the rest of a short body, so that the connection can be reused.
func (r *Response) DiscardBody() {
	r.SetReadDeadline(time.Now().Add(discardTimeout))
	// After an error the body is not complete, so Close closes the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(r, maxDiscardBytes))
}

// SetReadDeadline sets the deadline for reads of the body. It has no effect after the cancellation of the call.
func (r *Response) SetReadDeadline(t time.Time) {
	r.upstream.setDeadline(r.upstream.conn.SetReadDeadline, t)
}

// Close releases the memory of the answer and returns the connection to the idle pool if the response was read completely and the connection can be reused.
// Otherwise it closes the connection, which makes the backend server drop the request.
func (r *Response) Close() {
	r.release(r.reserved)
	interrupted := !r.stopInterrupt()
	if interrupted || r.exclusive || !r.complete || !r.selfDelimited || r.Header.ConnectionClose() ||
		r.upstream.br.Buffered() > 0 || r.upstream.keepAliveTimeout <= 0 {
		r.upstream.close()
		return
	}
	r.client.putIdle(r.server, r.upstream)
}

// fixedLengthReader reads a body with a Content-Length.
type fixedLengthReader struct {
	r         io.Reader
	remaining int64
}

func (l *fixedLengthReader) Read(b []byte) (int, error) {
	if l.remaining == 0 {
		return 0, io.EOF
	}
	n, err := l.r.Read(b[:min(int64(len(b)), l.remaining)])
	l.remaining -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
