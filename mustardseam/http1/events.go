package http1

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// maxEvent bounds an event of a stream in bytes, with the comments before it. Events hold a few tokens.
const maxEvent = 256 << 10

// Event is a part of a stream that ends with an empty line.
type Event struct {
	Raw     []byte // With the empty line.
	ID      string // Empty when it has none.
	Comment bool   // It has no field, only comments or empty lines, which say nothing to the caller.
}

// Events splits a stream of events (text/event-stream) into whole events.
type Events struct {
	br *bufio.Reader
}

// NewEvents reads events from a body.
func NewEvents(r io.Reader) *Events { return &Events{br: bufio.NewReader(r)} }

// Next returns the next event. The error is io.EOF after a complete stream; a stream that ends inside an event is not
// complete.
func (e *Events) Next() (Event, error) {
	var raw []byte
	for {
		line, err := e.br.ReadSlice('\n')
		raw = append(raw, line...)
		switch {
		case len(raw) > maxEvent:
			return Event{}, eris.Wrap(ErrBroken, "event is too long")
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(bytes.TrimSpace(raw)) > 0:
			return Event{}, eris.Wrap(ErrBroken, "stream ends inside an event")
		case err != nil:
			return Event{}, err
		}
		if bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\r\n\r\n")) {
			return Event{Raw: raw, ID: eventID(raw), Comment: isComment(raw)}, nil
		}
	}
}

// eventID returns the value of the last id line.
func eventID(raw []byte) string {
	id := ""
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

// isComment reports whether no line is a field.
func isComment(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line[0] != ':' && len(bytes.TrimSpace(line)) > 0 {
			return false
		}
	}
	return true
}
