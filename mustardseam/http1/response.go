package http1

import (
	"bufio"
	"io"
	"net/http/httputil"
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
}

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

// Body reads the whole body of at most limit bytes.
func (r *Response) Body(limit int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(b) > limit {
		return nil, eris.Wrapf(ErrBroken, "body of backend server %s is longer than %d bytes", r.server.ID, limit)
	}
	return b, nil
}

// SetReadDeadline bounds the wait for the next bytes.
func (r *Response) SetReadDeadline(t time.Time) { _ = r.conn.conn.SetReadDeadline(t) }

// Close ends the use of the connection: it is kept when the answer was complete, and closed otherwise, which makes the
// backend server drop the request.
func (r *Response) Close() {
	interrupted := !r.stop()
	if interrupted || !r.whole || !r.framed || r.Header.ConnectionClose() || r.conn.br.Buffered() > 0 || r.conn.keep <= 0 {
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
	for {
		line, err := c.br.ReadSlice('\n')
		if err != nil {
			return n, io.ErrUnexpectedEOF
		}
		if len(line) <= len("\r\n") {
			c.done = true
			return n, io.EOF
		}
	}
}
