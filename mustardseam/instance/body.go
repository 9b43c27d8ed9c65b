package instance

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/engine"
)

// streamed returns the body of a completion request with streaming and usage switched on. Engines always stream, so
// that an answer that breaks off can be resumed even when the caller wants it whole.
func streamed(body []byte) ([]byte, error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, eris.Wrap(err, "rewrite request body")
	}
	m["stream"] = json.RawMessage("true")
	m["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	b, err := json.Marshal(m)
	return b, eris.Wrap(err, "rewrite request body")
}

// completion is a whole answer of the OpenAI API.
type completion struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *engine.Usage `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Message *message `json:"message,omitempty"`
	Text    *string  `json:"text,omitempty"`
	Finish  string   `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// whole assembles the answer from the text of a stream.
func (x *modelExchange) whole() ([]byte, error) {
	c := completion{ID: x.call.ID, Created: x.started.Unix(), Model: x.request.Route.Name, Usage: x.usage}
	text := x.text.String()
	if x.request.Chat {
		c.Object = "chat.completion"
		c.Choices = []choice{{Message: &message{"assistant", text}, Finish: x.finish}}
	} else {
		c.Object = "text_completion"
		c.Choices = []choice{{Text: &text, Finish: x.finish}}
	}
	b, err := json.Marshal(c)
	return b, eris.Wrap(err, "assemble answer")
}
