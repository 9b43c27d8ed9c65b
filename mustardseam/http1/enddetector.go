package http1

import (
	"errors"
	"io"
	"syscall"
)

// endDetector is a reader of a connection that records when the peer has ended it.
type endDetector struct {
	r     io.Reader
	ended bool // The peer closed or reset the connection.
}

func (d *endDetector) Read(b []byte) (int, error) {
	n, err := d.r.Read(b)
	d.ended = d.ended || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
	return n, err
}
