package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// errLineTooLong means that a line or an event exceeds its limit.
var errLineTooLong = errors.New("line too long")

// byteOrderMark may precede a stream of server-sent events.
const byteOrderMark = "\xef\xbb\xbf"

// lineReader reads the lines of a stream of server-sent events. Each line ends with LF or CRLF.
type lineReader struct {
	reader   *bufio.Reader
	maxBytes int    // Maximum length of a line in bytes, including its end.
	buf      []byte // Collects a line that exceeds the buffer of the reader.
	started  bool   // Whether the first line has been read.
}

func newLineReader(r io.Reader, maxBytes int) *lineReader {
	return &lineReader{reader: bufio.NewReaderSize(r, min(maxBytes, 4<<10)), maxBytes: maxBytes}
}

// next returns the next line without its line end; it is valid until the following call. A last line without a line end
// may be truncated, so it is dropped and the error is returned.
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

// trimLine removes the line end and, from the first line, the byte order mark.
func (l *lineReader) trimLine(line []byte) []byte {
	line = bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'})
	if !l.started {
		l.started = true
		line = bytes.TrimPrefix(line, []byte(byteOrderMark))
	}
	return line
}
