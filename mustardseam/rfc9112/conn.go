package rfc9112

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"time"
)

const (
	// maxLineBytes is the maximum size of a head, and of a line in a chunked body, on a Conn.
	maxLineBytes = 16 << 10
	// maxInterimResponses is the maximum number of interim responses to a request on a Conn.
	maxInterimResponses = 100
)

// connPhase is what the server sends next on a Conn.
type connPhase int

const (
	phaseHead connPhase = iota
	phaseLength
	phaseChunks
	phaseUntilClose
)

// Conn is a connection of a client that sends no request with the method HEAD and reads each response before it sends the next
// request. It returns the bytes of a response only after they were checked, and no interim response. Read and Write must not be
// called at the same time.
type Conn struct {
	net.Conn
	br        *bufio.Reader
	phase     connPhase
	remaining int64 // Bytes of a body with a length that were not returned.
	chunks    chunkScanner
	checked   int64 // Bytes in the buffer that may be returned.
	awaiting  bool  // A request was sent, and its response has not ended.
	interim   int   // Number of interim responses to the request.
	failed    error // Result of all further calls.
}

var connSingletons = NewSingletons(Fields{})

// NewConn returns a connection that checks what the server sends.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, br: bufio.NewReaderSize(c, maxLineBytes)} }

// Checked returns the results of a dial function, with a connection that checks what the server sends.
func Checked(c net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// CheckedDial returns a dial function whose connections check what the server sends.
func CheckedDial(
	dial func(addr string, timeout time.Duration) (net.Conn, error),
) func(addr string, timeout time.Duration) (net.Conn, error) {
	return func(addr string, timeout time.Duration) (net.Conn, error) { return Checked(dial(addr, timeout)) }
}

// Write sends bytes of a request. It returns ErrMalformed if bytes were received that belong to no request.
func (c *Conn) Write(b []byte) (int, error) {
	if !c.awaiting && int64(c.br.Buffered()) > c.checked && c.failed == nil {
		c.failed = fmt.Errorf("%w: bytes after a response", ErrMalformed)
	}
	if c.failed != nil {
		return 0, c.failed
	}
	if !c.awaiting {
		c.awaiting, c.interim = true, 0
	}
	return c.Conn.Write(b)
}

// Read returns ErrMalformed for bytes that are no response, and so do all later calls. A response that is cut off within a head, a
// chunk or a body with a length ends with io.ErrUnexpectedEOF.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	for c.failed == nil {
		switch {
		case c.checked > 0:
			n, err := c.br.Read(b[:min(int64(len(b)), c.checked)])
			c.checked -= int64(n)
			return n, err
		case c.phase == phaseUntilClose:
			return c.br.Read(b)
		case c.remaining > 0:
			n, err := c.br.Read(b[:min(int64(len(b)), c.remaining)])
			if c.remaining -= int64(n); c.remaining == 0 && c.phase == phaseLength {
				c.endResponse()
			}
			return n, unexpectedEnd(err)
		}
		if err := c.examine(); errors.Is(err, ErrMalformed) {
			c.failed = err
		} else if err != nil {
			return 0, err
		}
	}
	return 0, c.failed
}

// examine checks what the next bytes are that may be returned.
func (c *Conn) examine() error {
	if c.phase == phaseChunks {
		return c.examineChunks()
	}
	head, n, err := c.awaitHead()
	if err != nil {
		return err
	}
	if head.IsInterim() {
		if c.interim++; c.interim > maxInterimResponses {
			return fmt.Errorf("%w: too many interim responses", ErrMalformed)
		}
		_, err := c.br.Discard(n)
		return err
	}
	c.checked = int64(n)
	switch head.Framing {
	case UntilClose:
		c.phase = phaseUntilClose
	case Chunked:
		c.phase, c.chunks = phaseChunks, chunkScanner{}
	case ByLength:
		if c.phase, c.remaining = phaseLength, head.Length; head.Length == 0 {
			c.endResponse()
		}
	case NoBody:
		c.endResponse()
	}
	return nil
}

// awaitHead waits until the buffer begins with a whole head, and returns its length.
func (c *Conn) awaitHead() (Head, int, error) {
	checker := NewChecker(connSingletons)
	for {
		b, _ := c.br.Peek(c.br.Buffered())
		if len(b) > 0 && !c.awaiting {
			return Head{}, 0, fmt.Errorf("%w: response without a request", ErrMalformed)
		}
		if head, n, err := checker.Check(b); err != nil || n > 0 {
			return head, n, err
		}
		if len(b) == c.br.Size() {
			return Head{}, 0, fmt.Errorf("%w: head of more than %d bytes", ErrMalformed, len(b))
		}
		if _, err := c.br.Peek(len(b) + 1); err != nil {
			if len(b) > 0 {
				err = unexpectedEnd(err)
			}
			return Head{}, 0, err
		}
	}
}

// examineChunks checks the next line of a chunked body and makes it and the data that follow it available.
func (c *Conn) examineChunks() error {
	line, err := c.peekLine()
	if err != nil {
		return err
	}
	if err := c.chunks.next(line); err != nil {
		return err
	}
	c.checked, c.remaining = int64(len(line)), c.chunks.remaining
	c.chunks.remaining = 0
	if c.chunks.phase == chunksDone {
		c.endResponse()
	}
	return nil
}

// peekLine returns the next line, with its end, without reading it.
func (c *Conn) peekLine() ([]byte, error) {
	for searched := 0; ; {
		b, _ := c.br.Peek(c.br.Buffered())
		if i := bytes.IndexByte(b[searched:], '\n'); i >= 0 {
			return b[:searched+i+1], nil
		}
		searched = len(b)
		if searched == c.br.Size() {
			return nil, fmt.Errorf("%w: line of more than %d bytes", ErrMalformed, searched)
		}
		if _, err := c.br.Peek(searched + 1); err != nil {
			return nil, unexpectedEnd(err)
		}
	}
}

func (c *Conn) endResponse() { c.phase, c.awaiting = phaseHead, false }
