package instance

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/mustardseam/mustardseam/mustardseam/caller"
)

// wholeExchange is an answer that is present as a whole: that of a service, or a replay.
type wholeExchange struct {
	stored
	sent bool
}

// Head returns status and headers.
func (x *wholeExchange) Head() (int, map[string]string) { return x.Status, x.Header }

// Whole returns the body.
func (x *wholeExchange) Whole() ([]byte, *caller.Problem) { return x.Body, nil }

// Next returns a replayed completion as one event.
func (x *wholeExchange) Next() ([]byte, error) {
	if x.sent || x.Status != http.StatusOK {
		return nil, io.EOF
	}
	x.sent = true
	return x.asEvent(), nil
}

// asEvent turns a whole completion into a chunk that carries all of its text.
func (x *wholeExchange) asEvent() []byte {
	var c completion
	if json.Unmarshal(x.Body, &c) != nil || len(c.Choices) == 0 || c.Choices[0].Message == nil {
		return x.Body
	}
	type chunkChoice struct {
		Index  int     `json:"index"`
		Delta  message `json:"delta"`
		Finish string  `json:"finish_reason"`
	}
	b, err := json.Marshal(struct {
		completion
		Object  string        `json:"object"`
		Choices []chunkChoice `json:"choices"`
	}{c, "chat.completion.chunk", []chunkChoice{{0, *c.Choices[0].Message, c.Choices[0].Finish}}})
	if err != nil {
		return x.Body
	}
	return b
}

// Close has nothing to end.
func (x *wholeExchange) Close() {}
