package http1

import (
	"bufio"
	"bytes"
	"context"
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
	ctx  context.Context // Context of the call.
	resp *Response
	br   *bufio.Reader // Reads from resp.
	held int64         // Bytes reserved for the latest event.
}

// NewEventReader returns an EventReader for the body of a response to a call with the given context.
func NewEventReader(ctx context.Context, r *Response) *EventReader {
	return &EventReader{ctx: ctx, resp: r, br: bufio.NewReader(r)}
}

// Next returns the next event, which is valid until the following call. It returns io.EOF at the end of a complete stream,
// ErrDisconnected if the stream ends inside an event, and ErrIncompleteResponse if an event is too long or the answers that are
// held at the same time would take too much memory.
func (e *EventReader) Next() (Event, error) {
	if e.held > 0 {
		e.resp.release(e.held)
		e.held = 0
	}
	var raw []byte
	for {
		line, err := e.br.ReadSlice('\n')
		room, memoryErr := e.grow(raw, len(line))
		if memoryErr != nil {
			return Event{}, memoryErr
		}
		raw = append(room, line...)
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

// grow makes room for n more bytes. The memory of a long event is reserved first.
func (e *EventReader) grow(raw []byte, n int) ([]byte, error) {
	need := len(raw) + n
	if need <= max(cap(raw), uncountedBytes) {
		return raw, nil
	}
	size := max(need, 2*cap(raw))
	if err := e.resp.reserve(e.ctx, int64(size)); err != nil {
		return nil, err
	}
	raw = append(make([]byte, 0, size), raw...)
	e.resp.release(e.held)
	e.held = int64(size)
	return raw, nil
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
