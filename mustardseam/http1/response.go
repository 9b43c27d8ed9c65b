package http1

import (
	"bufio"
	"io"
	"net/http/httputil"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// Response is the answer of a backend server; Close must be called on it.
type Response struct {
	Header fasthttp.ResponseHeader

	conn   *clientConn
	body   io.Reader // Ends with io.EOF when the body is complete, else with another error.
	whole  bool      // The body was read to its end, so the connection may carry another request.
	framed bool      // The body has a length or is chunked.
	client *Client
	server fleet.Incarnation
	stop   func() bool
	alone  bool // The connection carries no other request.
}

const (
	// trailerBytes bounds the trailer of a chunked body.
	trailerBytes = 16 << 10
	// skipBytes and skipTime bound the reading of a body that is not needed. A connection whose body is longer is closed.
	skipBytes = 16 << 10
	skipTime  = 100 * time.Millisecond
	// bodyStep is the least room for a read of a body.
	bodyStep = 4 << 10
)

// open prepares the reading of the body.
func (r *Response) open(head bool) {
	switch n := r.Header.ContentLength(); {
	case head || r.Header.StatusCode() == fasthttp.StatusNoContent || r.Header.StatusCode() == fasthttp.StatusNotModified:
		r.body, r.framed = &lengthReader{r: r.conn.br}, true
	case n >= 0:
		r.body, r.framed = &lengthReader{r: r.conn.br, left: n}, true
	case n == -1:
		r.body, r.framed = &chunkReader{br: r.conn.br, chunks: httputil.NewChunkedReader(r.conn.br)}, true
	default:
		r.body = r.conn.br
	}
}

// Framed reports whether the answer itself tells where it ends.
func (r *Response) Framed() bool { return r.framed }

// Read reads the body; it returns io.EOF only after a complete one, else ErrBroken.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.whole = true
		return n, err
	}
	if err != nil {
		return n, eris.Wrapf(ErrBroken, "read body of backend server %s: %v", r.server.ID, err)
	}
	return n, nil
}

// Body reads the whole body of at most limit bytes. It fails with ErrBroken as well when answers together would hold too
// much memory.
func (r *Response) Body(limit int) ([]byte, error) {
	if n := r.Header.ContentLength(); n > limit {
		return nil, eris.Wrapf(ErrBroken, "body of backend server %s has %d bytes, more than %d", r.server.ID, n, limit)
	}
	var held int64
	defer func() { r.client.held.Add(-held) }()
	b := make([]byte, 0, bodyStep)
	for {
		if cap(b)-len(b) < bodyStep {
			b = slices.Grow(b, len(b)+bodyStep)
			if more := int64(max(0, cap(b)-freeHeld)) - held; more > 0 {
				held += more
				if r.client.held.Add(more) > maxHeld {
					return nil, eris.Wrapf(ErrBroken, "body of backend server %s: answers hold too much memory", r.server.ID)
				}
			}
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case len(b) > limit:
			return nil, eris.Wrapf(ErrBroken, "body of backend server %s is longer than %d bytes", r.server.ID, limit)
		case err == io.EOF:
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}

// Skip reads the rest of a short body that is not needed, so that the connection can carry another request.
func (r *Response) Skip() {
	r.SetReadDeadline(time.Now().Add(skipTime))
	// An error shows when the connection is closed.
	_, _ = io.Copy(io.Discard, io.LimitReader(r, skipBytes))
}

// SetReadDeadline bounds the wait for the next bytes.
func (r *Response) SetReadDeadline(t time.Time) { _ = r.conn.conn.SetReadDeadline(t) }

// Close ends the use of the connection: it is kept when the answer was complete, and closed otherwise, which makes the
// backend server drop the request.
func (r *Response) Close() {
	interrupted := !r.stop()
	if interrupted || r.alone || !r.whole || !r.framed || r.Header.ConnectionClose() || r.conn.br.Buffered() > 0 || r.conn.keep <= 0 {
		r.conn.close()
		return
	}
	r.client.put(r.server, r.conn)
}

// lengthReader reads a body of a known length.
type lengthReader struct {
	r    io.Reader
	left int
}

func (l *lengthReader) Read(b []byte) (int, error) {
	if l.left == 0 {
		return 0, io.EOF
	}
	n, err := l.r.Read(b[:min(len(b), l.left)])
	l.left -= n
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkReader reads a chunked body with its trailer.
type chunkReader struct {
	br     *bufio.Reader
	chunks io.Reader
	done   bool
}

func (c *chunkReader) Read(b []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	n, err := c.chunks.Read(b)
	if err != io.EOF {
		return n, err
	}
	for read := 0; ; {
		line, err := c.br.ReadSlice('\n')
		if read += len(line); err != nil || read > trailerBytes {
			return n, io.ErrUnexpectedEOF
		}
		if len(line) <= len("\r\n") {
			c.done = true
			return n, io.EOF
		}
	}
}
