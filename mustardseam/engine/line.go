package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// errLineTooLong says that a line or an event exceeds its bound.
var errLineTooLong = errors.New("line too long")

// byteOrderMark may precede a stream of server-sent events.
const byteOrderMark = "\xef\xbb\xbf"

// lineReader reads the lines of a stream of server-sent events; each ends with LF or CRLF.
type lineReader struct {
	reader   *bufio.Reader
	maxBytes int
	buf      []byte // Holds a line that exceeds the reader's buffer.
	started  bool
}

func newLineReader(r io.Reader, maxBytes int) *lineReader {
	return &lineReader{reader: bufio.NewReaderSize(r, min(maxBytes, 4<<10)), maxBytes: maxBytes}
}

// next returns a line without its end, which is valid until the next call; a last line without an end is dropped with
// the error, since it may be cut off.
func (l *lineReader) next() ([]byte, error) {
	l.buf = l.buf[:0]
	for {
		part, err := l.reader.ReadSlice('\n')
		if len(l.buf)+len(part) > l.maxBytes {
			return nil, errLineTooLong
		}
		if err == nil && len(l.buf) == 0 {
			return l.trimLine(part), nil
		}
		l.buf = append(l.buf, part...)
		if err == nil {
			return l.trimLine(l.buf), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// trimLine removes the line end, and the byte order mark of the first line.
func (l *lineReader) trimLine(line []byte) []byte {
	line = bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'})
	if !l.started {
		l.started = true
		line = bytes.TrimPrefix(line, []byte(byteOrderMark))
	}
	return line
}
