package instance

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/engine"
)

// withStreaming returns the body of a completion request with streaming and usage enabled. Engines always stream, so
// that an interrupted answer can be resumed even when the caller did not ask for a stream.
func withStreaming(body []byte) ([]byte, error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, eris.Wrap(err, "rewrite request body")
	}
	m["stream"] = json.RawMessage("true")
	m["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	b, err := json.Marshal(m)
	return b, eris.Wrap(err, "rewrite request body")
}

// completionAnswer is a complete, non-streamed answer of the OpenAI API.
type completionAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *engine.Usage      `json:"usage,omitempty"`
}

type completionChoice struct {
	Index   int          `json:"index"`
	Message *chatMessage `json:"message,omitempty"`
	Text    *string      `json:"text,omitempty"`
	Finish  string       `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionBody builds a non-streamed answer from the text received on the stream.
func (x *modelExchange) completionBody() ([]byte, error) {
	c := completionAnswer{ID: x.call.ID, Created: x.started.Unix(), Model: x.request.Route.Name, Usage: x.usage}
	text := x.text.String()
	if x.request.Chat {
		c.Object = "chat.completion"
		c.Choices = []completionChoice{{Message: &chatMessage{"assistant", text}, Finish: x.finishReason}}
	} else {
		c.Object = "text_completion"
		c.Choices = []completionChoice{{Text: &text, Finish: x.finishReason}}
	}
	b, err := json.Marshal(c)
	return b, eris.Wrap(err, "assemble answer")
}
