package engine

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// defaultLineBytes is the maximum length of a line of a stream if the configuration sets none.
const defaultLineBytes = 1 << 20

// doneData is the data of the event that ends a stream.
const doneData = "[DONE]"

// Stream reads the events of one request. It is not safe for concurrent use.
type Stream struct {
	address string // Address of the engine, for error messages.
	req     *fasthttp.Request
	resp    *fasthttp.Response
	lines   *lineReader
	data    []byte // Data lines of the event that is being read, joined with LF.
	hasData bool   // Whether the event that is being read has a data line.
}

// completionChunk holds the members of an event that the scheduler uses.
type completionChunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

func newStream(address string, maxLineBytes int, req *fasthttp.Request, resp *fasthttp.Response) *Stream {
	return &Stream{address: address, req: req, resp: resp, lines: newLineReader(resp.BodyStream(), maxLineBytes)}
}

// Next returns the next event, whose Data is nil at the regular end of the stream. The error is ErrStreamBroken if the stream
// ends without its last event or carries an error.
func (s *Stream) Next() (Event, error) {
	for {
		line, err := s.lines.next()
		if err != nil {
			return Event{}, eris.Wrapf(ErrStreamBroken, "read from engine %s: %v", s.address, err)
		}
		if len(line) == 0 {
			if !s.hasData {
				continue
			}
			return s.decodeEvent()
		}
		if err := s.parseField(line); err != nil {
			return Event{}, eris.Wrapf(ErrStreamBroken, "read from engine %s: %v", s.address, err)
		}
		// The last event takes effect with its data line, because some engines close the stream without an empty line
		// after it.
		if s.hasData && string(s.data) == doneData {
			return Event{}, nil
		}
	}
}

// parseField adds a line to the event that is being read. Comments and fields other than data are ignored.
func (s *Stream) parseField(line []byte) error {
	data, ok := bytes.CutPrefix(line, []byte("data"))
	if !ok || (len(data) > 0 && data[0] != ':') {
		return nil
	}
	data = bytes.TrimPrefix(bytes.TrimPrefix(data, []byte{':'}), []byte{' '})
	if len(s.data)+len(data) >= s.lines.maxBytes {
		return errLineTooLong
	}
	if s.hasData {
		s.data = append(s.data, '\n')
	}
	s.data = append(s.data, data...)
	s.hasData = true
	return nil
}

// decodeEvent decodes the event that has been read. Its data is copied because the buffer is reused.
func (s *Stream) decodeEvent() (Event, error) {
	data := s.data
	s.data, s.hasData = s.data[:0], false
	var c completionChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Event{}, eris.Wrapf(ErrStreamBroken, "decode event of engine %s: %v", s.address, err)
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return Event{}, eris.Wrapf(ErrStreamBroken, "engine %s reported an error: %s", s.address, c.Error)
	}
	ev := Event{Data: singleLine(data), Usage: c.Usage}
	for _, choice := range c.Choices {
		ev.Content += choice.Delta.Content + choice.Text
		if choice.FinishReason != nil {
			ev.FinishReason = *choice.FinishReason
		}
	}
	return ev, nil
}

// singleLine returns a copy of valid JSON without line breaks, which would end a data line of the caller's stream.
func singleLine(data []byte) []byte {
	if bytes.IndexByte(data, '\n') < 0 && bytes.IndexByte(data, '\r') < 0 {
		return bytes.Clone(data)
	}
	var b bytes.Buffer
	if json.Compact(&b, data) != nil {
		return bytes.Clone(data)
	}
	return b.Bytes()
}

// Close releases the stream. If the stream has unread data, its connection is closed.
func (s *Stream) Close() {
	if s.resp == nil {
		return
	}
	_ = s.resp.CloseBodyStream()
	fasthttp.ReleaseRequest(s.req)
	fasthttp.ReleaseResponse(s.resp)
	s.resp = nil
}
