package engine

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// defaultLine bounds one line of a stream in bytes when the configuration does not.
const defaultLine = 1 << 20

// done is the data of the event that ends a stream.
const done = "[DONE]"

// Stream reads the events of one request; it is not safe for concurrent use.
type Stream struct {
	peer  string
	req   *fasthttp.Request
	resp  *fasthttp.Response
	lines *lines
	data  []byte // Data lines of the event that is being read.
	any   bool   // Whether the event has a data line.
}

// chunk is the part of an event that the scheduler reads.
type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

func newStream(peer string, line int, req *fasthttp.Request, resp *fasthttp.Response) *Stream {
	return &Stream{peer: peer, req: req, resp: resp, lines: newLines(resp.BodyStream(), line)}
}

// Next returns the next event, ErrBroken when the stream ends without its last one or carries an error.
func (s *Stream) Next() (Event, error) {
	for {
		line, err := s.lines.next()
		if err != nil {
			return Event{}, eris.Wrapf(ErrBroken, "read from engine %s: %v", s.peer, err)
		}
		if len(line) == 0 {
			if !s.any {
				continue
			}
			return s.event()
		}
		if err := s.field(line); err != nil {
			return Event{}, eris.Wrapf(ErrBroken, "read from engine %s: %v", s.peer, err)
		}
		// The last event is taken at its line, because some engines close the stream without an empty line after it.
		if s.any && string(s.data) == done {
			return Event{}, nil
		}
	}
}

// field takes in a line of an event; comments and fields other than data have no meaning here.
func (s *Stream) field(line []byte) error {
	data, ok := bytes.CutPrefix(line, []byte("data"))
	if !ok || (len(data) > 0 && data[0] != ':') {
		return nil
	}
	data = bytes.TrimPrefix(bytes.TrimPrefix(data, []byte{':'}), []byte{' '})
	if len(s.data)+len(data) >= s.lines.limit {
		return errLineTooLong
	}
	if s.any {
		s.data = append(s.data, '\n')
	}
	s.data = append(s.data, data...)
	s.any = true
	return nil
}

// event decodes the event that has been read; its data is copied because the memory is reused.
func (s *Stream) event() (Event, error) {
	data := s.data
	s.data, s.any = s.data[:0], false
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Event{}, eris.Wrapf(ErrBroken, "decode event of engine %s: %v", s.peer, err)
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return Event{}, eris.Wrapf(ErrBroken, "engine %s reported an error: %s", s.peer, c.Error)
	}
	ev := Event{Data: oneLine(data), Usage: c.Usage}
	for _, choice := range c.Choices {
		ev.Content += choice.Delta.Content + choice.Text
		if choice.Finish != nil {
			ev.Finish = *choice.Finish
		}
	}
	return ev, nil
}

// oneLine returns a copy of valid JSON without line breaks, which would end a data line of the caller's stream.
func oneLine(data []byte) []byte {
	if bytes.IndexByte(data, '\n') < 0 && bytes.IndexByte(data, '\r') < 0 {
		return bytes.Clone(data)
	}
	var b bytes.Buffer
	if json.Compact(&b, data) != nil {
		return bytes.Clone(data)
	}
	return b.Bytes()
}

// Close releases the stream; an unread rest closes the connection.
func (s *Stream) Close() {
	if s.resp == nil {
		return
	}
	_ = s.resp.CloseBodyStream()
	fasthttp.ReleaseRequest(s.req)
	fasthttp.ReleaseResponse(s.resp)
	s.resp = nil
}
