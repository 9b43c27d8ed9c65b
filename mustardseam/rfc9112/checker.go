package rfc9112

import (
	"bytes"
	"fmt"
	"strconv"
)

// statusSwitchingProtocols answers only requests for another protocol, which are not sent.
const statusSwitchingProtocols = 101

// Checker checks the head of one response while it arrives.
type Checker struct {
	singletons *Singletons
	next       int        // Offset of the first line that was not checked.
	start      statusLine // Status line; its status is 0 as long as it was not read.
	seen       uint64     // Singletons that occurred, by index.
	length     int64      // Value of Content-Length, -1 if there is none.
	chunked    bool
	inner      []innerHead
}

// innerHead begins with a status line that ends a later line or the reason phrase, before the request is named. What precedes it may
// be the beginning of a response to another request, which was cut off.
type innerHead struct {
	start   statusLine
	seen    uint64 // Singletons that occurred before it.
	inValue bool   // It is preceded by the beginning of a field value.
}

// NewChecker returns a checker for a head in which some fields may occur only once.
func NewChecker(s *Singletons) *Checker { return &Checker{singletons: s, length: -1} }

// Check checks the lines that have arrived since the last call, of which b must begin with the same bytes. It returns the head and
// its length in bytes once that is whole, a length of 0 before, and ErrMalformed as soon as a line shows that there is no head.
func (c *Checker) Check(b []byte) (Head, int, error) {
	for {
		i := bytes.IndexByte(b[c.next:], '\n')
		if i < 0 {
			return Head{}, 0, nil
		}
		begin := c.next
		c.next += i + 1
		// A recipient may accept a line feed alone (RFC 9112 section 2.2), but it can also be part of a value.
		line, ok := bytes.CutSuffix(b[begin:c.next], []byte("\r\n"))
		switch {
		case !ok:
			return Head{}, 0, fmt.Errorf("%w: line feed in %q", ErrMalformed, excerpt(line))
		case c.start.status == 0:
			if c.start, ok = parseStatusLine(line); !ok {
				return Head{}, 0, fmt.Errorf("%w: status line %q", ErrMalformed, excerpt(line))
			}
		case len(line) == 0:
			h, err := c.finish()
			if err != nil {
				return Head{}, 0, err
			}
			return h, c.next, nil
		default:
			if err := c.checkField(line); err != nil {
				return Head{}, 0, err
			}
		}
		if offset := innerStatusLine(line); offset > 0 && c.seen&c.singletons.identity == 0 {
			start, _ := parseStatusLine(line[offset:])
			_, value, inField := bytes.Cut(line[:offset], []byte(":"))
			c.inner = append(c.inner, innerHead{start: start, seen: c.seen, inValue: inField && len(trimBlanks(value)) > 0})
		}
	}
}

func (c *Checker) checkField(line []byte) error {
	name, value, ok := splitField(line)
	if !ok {
		return fmt.Errorf("%w: field line %q", ErrMalformed, excerpt(line))
	}
	special, index, single := c.singletons.find(name)
	if !single {
		return nil
	}
	if c.seen&(1<<index) != 0 {
		return fmt.Errorf("%w: %s occurs twice", ErrMalformed, excerpt(name))
	}
	c.seen |= 1 << index
	switch special {
	case contentLength:
		n, err := strconv.ParseInt(string(value), 10, 64)
		if !isDigits(value) || err != nil {
			return fmt.Errorf("%w: length %q", ErrMalformed, excerpt(value))
		}
		c.length = n
	case transferEncoding:
		if !bytes.EqualFold(value, []byte("chunked")) {
			return fmt.Errorf("%w: transfer coding %q", ErrMalformed, excerpt(value))
		}
		c.chunked = true
	}
	return nil
}

// finish returns the whole head. It returns ErrMalformed if the head may be a part of one and another one, and says something else
// then, or has lines that belong to another response.
func (c *Checker) finish() (Head, error) {
	h, err := newHead(c.start, c.chunked, c.length)
	if err != nil {
		return Head{}, err
	}
	for _, inner := range c.inner {
		chunked, length := c.chunked, c.length
		if c.singletons.contains(inner.seen, transferEncoding) {
			chunked = false
		}
		if c.singletons.contains(inner.seen, contentLength) {
			length = -1
		}
		other, err := newHead(inner.start, chunked, length)
		if err == nil && other != h || inner.inValue && c.seen&c.singletons.identity != 0 {
			return Head{}, fmt.Errorf("%w: head within a head", ErrMalformed)
		}
	}
	return h, nil
}

// newHead returns a head with a status line and a framing; length is -1 if there is no Content-Length.
func newHead(start statusLine, chunked bool, length int64) (Head, error) {
	h := Head{Status: start.status}
	switch {
	case chunked && length >= 0:
		return Head{}, fmt.Errorf("%w: length and chunks", ErrMalformed)
	case chunked && start.minor == '0':
		return Head{}, fmt.Errorf("%w: chunks in version 1.0", ErrMalformed)
	case h.Status == statusSwitchingProtocols:
		return Head{}, fmt.Errorf("%w: status %d", ErrMalformed, h.Status)
	case h.IsInterim() && (chunked || length >= 0), h.Status == 204 && (chunked || length > 0):
		return Head{}, fmt.Errorf("%w: body of a response of status %d", ErrMalformed, h.Status)
	case h.IsInterim() || h.Status == 204 || h.Status == 304:
		h.Framing = NoBody
	case chunked:
		h.Framing = Chunked
	case length >= 0:
		h.Framing, h.Length = ByLength, length
	}
	return h, nil
}

// excerpt limits what an error message shows.
func excerpt(b []byte) []byte { return b[:min(len(b), 80)] }
