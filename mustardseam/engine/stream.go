package engine

import (
	"bufio"
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// defaultLine bounds one line of a stream in bytes when the configuration does not.
const defaultLine = 1 << 20

// Stream reads the events of one request; it is not safe for concurrent use.
type Stream struct {
	peer string
	req  *fasthttp.Request
	resp *fasthttp.Response
	r    *bufio.Scanner
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
	Usage *Usage `json:"usage"`
}

func newStream(peer string, line int, req *fasthttp.Request, resp *fasthttp.Response) *Stream {
	s := &Stream{peer: peer, req: req, resp: resp, r: bufio.NewScanner(resp.BodyStream())}
	s.r.Buffer(make([]byte, 0, 4<<10), line)
	return s
}

// Next returns the next event, ErrBroken when the stream ends without its last one.
func (s *Stream) Next() (Event, error) {
	for s.r.Scan() {
		data, ok := bytes.CutPrefix(s.r.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, []byte("[DONE]")) {
			return Event{}, nil
		}
		return s.decode(data)
	}
	return Event{}, eris.Wrapf(ErrBroken, "read from engine %s: %v", s.peer, s.r.Err())
}

// decode reads one event; data is copied because the scanner reuses it.
func (s *Stream) decode(data []byte) (Event, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Event{}, eris.Wrapf(ErrBroken, "decode event of engine %s: %v", s.peer, err)
	}
	ev := Event{Data: bytes.Clone(data), Usage: c.Usage}
	for _, choice := range c.Choices {
		ev.Content += choice.Delta.Content + choice.Text
		if choice.Finish != nil {
			ev.Finish = *choice.Finish
		}
	}
	return ev, nil
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
