package rfc9112

import (
	"bufio"
	"io"
)

// ChunkedReader reads the content of a chunked body. The trailer section is checked and discarded.
type ChunkedReader struct {
	br      *bufio.Reader
	scanner chunkScanner
}

// NewChunkedReader returns a reader for a body that br has before it. Lines that exceed the buffer of br are errors.
func NewChunkedReader(br *bufio.Reader) *ChunkedReader { return &ChunkedReader{br: br} }

// Read returns io.EOF only after the end of the trailer section. io.ErrUnexpectedEOF means that the body is cut off, ErrMalformed
// that it breaks the grammar.
func (r *ChunkedReader) Read(b []byte) (int, error) {
	for r.scanner.remaining == 0 {
		if r.scanner.phase == chunksDone {
			return 0, io.EOF
		}
		line, err := r.br.ReadSlice('\n')
		if err == nil {
			err = r.scanner.next(line)
		}
		if err != nil {
			return 0, unexpectedEnd(err)
		}
	}
	if len(b) == 0 {
		return 0, nil
	}
	n, err := r.br.Read(b[:min(int64(len(b)), r.scanner.remaining)])
	r.scanner.remaining -= int64(n)
	return n, unexpectedEnd(err)
}

// unexpectedEnd returns the error for the end of the connection within a message.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
