package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"

	"github.com/valyala/fasthttp"
)

// errMalformedHead is returned for bytes that cannot be the head of a response.
var errMalformedHead = errors.New("malformed response head")

// readHead reads the next head of a response. It is parsed only when it has arrived as a whole and the memory that it takes when
// parsed, many times its length for short lines, is reserved.
func (c *clientConn) readHead(ctx context.Context, r *Response) error {
	n, err := c.awaitHead()
	if err != nil {
		return err
	}
	head, err := c.br.Peek(n)
	if err != nil {
		return err
	}
	if lines := bytes.Count(head, []byte("\n")) - uncountedLines; lines > 0 {
		if err := r.reserve(ctx, int64(lines)*bytesPerLine); err != nil {
			return err
		}
	}
	// The parser must not wait for more lines than were counted.
	br := bufio.NewReaderSize(bytes.NewReader(head), n)
	if err := r.Header.Read(br); err != nil {
		return err
	}
	_, err = c.br.Discard(n - br.Buffered())
	return err
}

// awaitHead waits until the read buffer begins with a whole head, and returns its length. It fails at once if a line cannot belong
// to a head.
func (c *clientConn) awaitHead() (int, error) {
	var lines headLines
	for searched := 0; ; {
		b, _ := c.br.Peek(c.br.Buffered())
		if end := headerEnd(b, searched); end > 0 {
			return end, nil
		}
		if !lines.check(b) {
			return 0, errMalformedHead
		}
		searched = len(b)
		if searched == c.br.Size() {
			return 0, &fasthttp.ErrSmallBuffer{}
		}
		if _, err := c.br.Peek(searched + 1); err != nil {
			return 0, err
		}
	}
}

// headLines checks the lines of a head that has not arrived as a whole.
type headLines struct {
	next                  int // Offset of the first line that is not checked.
	statusSeen, fieldSeen bool
}

// check checks the whole lines of b that have arrived since the last call. It returns false if one can be neither a status line nor
// a field nor the continuation of one.
func (l *headLines) check(b []byte) bool {
	for {
		i := bytes.IndexByte(b[l.next:], '\n')
		if i < 0 {
			return true
		}
		line := bytes.TrimRight(b[l.next:l.next+i], "\r")
		switch {
		case len(line) == 0: // Empty lines may precede a head.
		case !l.statusSeen:
			if !isStatusLine(line) {
				return false
			}
			l.statusSeen = true
		case line[0] == ' ' || line[0] == '\t':
			if !l.fieldSeen {
				return false
			}
		case bytes.IndexByte(line, ':') <= 0:
			return false
		default:
			l.fieldSeen = true
		}
		l.next += i + 1
	}
}

// isStatusLine reports whether a line has a status code after its first space.
func isStatusLine(line []byte) bool {
	_, status, ok := bytes.Cut(line, []byte(" "))
	return ok && len(status) > 0 && status[0] >= '0' && status[0] <= '9'
}
