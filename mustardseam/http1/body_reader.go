package http1

import (
	"errors"
	"io"
	"net/http/httputil"
	"os"

	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// firstBodyBytes is the size up to which the buffer of an announced body is allocated at once. A longer body gets more
	// memory only as its bytes arrive.
	firstBodyBytes = 128 << 10
	// firstChunkedBytes is the first size of the buffer of a body without an announced length.
	firstChunkedBytes = 16 << 10
)

// errMemoryFull means that a request does not fit into the memory for requests.
var errMemoryFull = errors.New("memory for requests is full")

// bodyReader reads the body of a request. Its buffer grows as bytes arrive, and each growth is reserved first.
type bodyReader struct {
	conn *serverConn
	b    []byte
}

// readBody reads the body that a header announces. It returns fasthttp.ErrBodyTooLarge for a body beyond the limit.
func (c *serverConn) readBody(h *fasthttp.RequestHeader, limits fleet.Limits) ([]byte, error) {
	r := bodyReader{conn: c}
	switch n := h.ContentLength(); {
	case n > limits.BodyBytes:
		return nil, fasthttp.ErrBodyTooLarge
	case n > 0:
		err := r.readFixed(n)
		return r.b, err
	case n == framingChunked:
		err := r.readChunked(limits)
		return r.b, err
	}
	return nil, nil
}

// readFixed reads a body of n bytes.
func (r *bodyReader) readFixed(n int) error {
	for len(r.b) < n {
		if err := r.grow(firstBodyBytes, n); err != nil {
			return err
		}
		if err := r.read(r.conn.br); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// readChunked reads a chunked body with its trailer section, which is discarded.
func (r *bodyReader) readChunked(limits fleet.Limits) error {
	// The trailer section may be as long as a header.
	if err := r.conn.enlargeReader(limits.HeaderBytes); err != nil {
		return err
	}
	chunks := httputil.NewChunkedReader(r.conn.br)
	for len(r.b) < limits.BodyBytes {
		if err := r.grow(firstChunkedBytes, limits.BodyBytes); err != nil {
			return err
		}
		switch err := r.read(chunks); {
		case err == io.EOF:
			return r.conn.discardTrailer()
		case err != nil:
			return err
		}
	}
	// A body of the largest size must end here. The next byte is not read into the buffer, which would have to grow for it.
	switch n, err := chunks.Read(make([]byte, 1)); {
	case n > 0:
		return fasthttp.ErrBodyTooLarge
	case err == io.EOF:
		return r.conn.discardTrailer()
	default:
		return err
	}
}

// read appends what one read returns.
func (r *bodyReader) read(from io.Reader) error {
	n, err := from.Read(r.b[len(r.b):cap(r.b)])
	r.b = r.b[:len(r.b)+n]
	r.conn.recordProgress()
	if n > 0 && err != io.EOF {
		return nil // The next read returns the error again.
	}
	return err
}

// grow makes room for at least one byte in the buffer, which begins with the size first and never exceeds limit.
func (r *bodyReader) grow(first, limit int) error {
	old := cap(r.b)
	if len(r.b) < old {
		return nil
	}
	size := min(limit, max(first, 2*old))
	if !r.conn.reserve(int64(size)) {
		return errMemoryFull
	}
	b := make([]byte, len(r.b), size)
	copy(b, r.b)
	r.b = b
	r.conn.release(int64(old))
	return nil
}

// discardTrailer reads the trailer section of a chunked body. Its fields are not kept, since they are not forwarded.
func (c *serverConn) discardTrailer() error {
	var h fasthttp.RequestHeader
	switch err := h.ReadTrailer(c.br); {
	case errors.Is(err, fasthttp.ErrTimeout):
		return os.ErrDeadlineExceeded
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}
