package instance

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/mustardseam/mustardseam/mustardseam/caller"
)

// wholeExchange is an answer that is complete in memory: the response of a service, or a replayed answer.
type wholeExchange struct {
	storedAnswer
	sent bool
}

// Head returns the status and the headers.
func (x *wholeExchange) Head() (int, map[string]string) { return x.Status, x.Header }

// ReadAll returns the body.
func (x *wholeExchange) ReadAll() ([]byte, *caller.Problem) { return x.Body, nil }

// Next returns a replayed completion as a single event, then io.EOF.
func (x *wholeExchange) Next() ([]byte, error) {
	if x.sent || x.Status != http.StatusOK {
		return nil, io.EOF
	}
	x.sent = true
	return x.asEvent(), nil
}

// asEvent converts a complete chat completion to one chunk with all of its text.
func (x *wholeExchange) asEvent() []byte {
	var c completionAnswer
	if json.Unmarshal(x.Body, &c) != nil || len(c.Choices) == 0 || c.Choices[0].Message == nil {
		return x.Body
	}
	type chunkChoice struct {
		Index  int         `json:"index"`
		Delta  chatMessage `json:"delta"`
		Finish string      `json:"finish_reason"`
	}
	b, err := json.Marshal(struct {
		completionAnswer
		Object  string        `json:"object"`
		Choices []chunkChoice `json:"choices"`
	}{c, "chat.completion.chunk", []chunkChoice{{0, *c.Choices[0].Message, c.Choices[0].Finish}}})
	if err != nil {
		return x.Body
	}
	return b
}

// Close does nothing; a complete answer holds no resources.
func (x *wholeExchange) Close() {}
