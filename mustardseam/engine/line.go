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

// lines reads the lines of a stream of server-sent events; each ends with LF or CRLF.
type lines struct {
	r     *bufio.Reader
	limit int
	long  []byte // Holds a line that exceeds the reader's buffer.
	begun bool
}

func newLines(r io.Reader, limit int) *lines {
	return &lines{r: bufio.NewReaderSize(r, min(limit, 4<<10)), limit: limit}
}

// next returns a line without its end, which is valid until the next call; a last line without an end is dropped with
// the error, since it may be cut off.
func (l *lines) next() ([]byte, error) {
	l.long = l.long[:0]
	for {
		part, err := l.r.ReadSlice('\n')
		if len(l.long)+len(part) > l.limit {
			return nil, errLineTooLong
		}
		if err == nil && len(l.long) == 0 {
			return l.trim(part), nil
		}
		l.long = append(l.long, part...)
		if err == nil {
			return l.trim(l.long), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// trim removes the line end, and the byte order mark of the first line.
func (l *lines) trim(line []byte) []byte {
	line = bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'})
	if !l.begun {
		l.begun = true
		line = bytes.TrimPrefix(line, []byte(byteOrderMark))
	}
	return line
}
