package http1

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// maxEvent bounds an event of a stream in bytes.
const maxEvent = 1 << 20

// Events splits a stream of events (text/event-stream) into whole events.
type Events struct {
	br *bufio.Reader
}

// NewEvents reads events from a body.
func NewEvents(r io.Reader) *Events { return &Events{br: bufio.NewReader(r)} }

// Next returns the next event with its id, which is empty when it has none. The error is io.EOF after a complete stream;
// a stream that ends inside an event is not complete.
func (e *Events) Next() (raw []byte, id string, err error) {
	for {
		line, err := e.br.ReadSlice('\n')
		raw = append(raw, line...)
		switch {
		case err == bufio.ErrBufferFull && len(raw) < maxEvent:
			continue
		case err == io.EOF && len(bytes.TrimSpace(raw)) > 0:
			return nil, "", eris.Wrap(ErrBroken, "stream ends inside an event")
		case err != nil:
			return nil, "", err
		case len(raw) > maxEvent:
			return nil, "", eris.Wrap(ErrBroken, "event is too long")
		}
		if bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\r\n\r\n")) {
			return raw, eventID(raw), nil
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
