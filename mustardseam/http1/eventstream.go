package http1

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// maxEventBytes is the maximum size of an event, including the comments before it. An event holds a few tokens.
const maxEventBytes = 256 << 10

// Event is one event of an event stream.
type Event struct {
	Raw         []byte // Bytes of the event, including the empty line that ends it.
	ID          string // Value of the id field; empty if there is none.
	CommentOnly bool   // The event has only comments and empty lines, which carry no data for the caller.
}

// EventReader splits an event stream (text/event-stream) into events.
type EventReader struct {
	br *bufio.Reader
}

// NewEventReader returns an EventReader for a response body.
func NewEventReader(r io.Reader) *EventReader { return &EventReader{br: bufio.NewReader(r)} }

// Next returns the next event. It returns io.EOF at the end of a complete stream and ErrDisconnected if the stream ends
// inside an event.
func (e *EventReader) Next() (Event, error) {
	var raw []byte
	for {
		line, err := e.br.ReadSlice('\n')
		raw = append(raw, line...)
		switch {
		case len(raw) > maxEventBytes:
			return Event{}, eris.Wrap(ErrIncompleteResponse, "event exceeds the size limit")
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(bytes.TrimSpace(raw)) > 0:
			return Event{}, eris.Wrap(ErrDisconnected, "stream ends inside an event")
		case err != nil:
			return Event{}, err
		}
		if bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\r\n\r\n")) {
			return Event{Raw: raw, ID: eventID(raw), CommentOnly: isComment(raw)}, nil
		}
	}
}

// eventID returns the value of the last id field.
func eventID(raw []byte) string {
	id := ""
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

// isComment reports whether all lines are comments or empty.
func isComment(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line[0] != ':' && len(bytes.TrimSpace(line)) > 0 {
			return false
		}
	}
	return true
}
