package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxOutputTokens limits the length of an answer, so that no request occupies an engine forever.
const maxOutputTokens = 1 << 16

// request holds the fields of an OpenAI API request that the engine uses.
type request struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	N         *int            `json:"n"`
	Stream    bool            `json:"stream"`
}

// parse decodes and validates the body of a request.
func parse(body []byte) (request, error) {
	var r request
	if err := json.Unmarshal(body, &r); err != nil {
		return r, fmt.Errorf("invalid JSON: %w", err)
	}
	if r.MaxTokens < 0 {
		return r, errors.New("max_tokens must not be negative")
	}
	if r.N != nil && *r.N != 1 {
		return r, errors.New("n must be 1")
	}
	return r, nil
}

// text returns the prompt and the messages as one string.
func (r request) text() string {
	var b strings.Builder
	b.WriteString(contentText(r.Prompt))
	for _, m := range r.Messages {
		b.WriteString(m.Role + ":" + contentText(m.Content) + "\n")
	}
	return b.String()
}

// contentText returns the text of a string, a list with strings, or a list of parts.
func contentText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		return ""
	}
	var b strings.Builder
	for _, item := range list {
		var part struct {
			Text string `json:"text"`
		}
		if json.Unmarshal(item, &s) == nil {
			b.WriteString(s)
		} else if json.Unmarshal(item, &part) == nil {
			b.WriteString(part.Text)
		}
	}
	return b.String()
}

// newStream returns the stream of a request; its tag, and its length when max_tokens is missing, derive from the
// prompt.
func newStream(id string, chat bool, r request) *stream {
	text := r.text()
	sum := xxhash.Sum64String(text)
	length := min(r.MaxTokens, maxOutputTokens)
	if length <= 0 {
		length = 8 + int(sum%56)
	}
	return &stream{
		id: id, model: strings.Clone(r.Model), chat: chat, tag: fmt.Sprintf("%08x", uint32(sum)),
		promptTokens: max(1, len(text)/4), outputTokens: length, blocks: Blocks(text), changed: make(chan struct{}),
	}
}

// Blocks returns the chained hashes of the complete blocks of a prompt, counting four bytes as one token.
func Blocks(text string) []uint64 {
	h := xxhash.New()
	var list []uint64
	const size = BlockTokens * 4
	for len(text) >= size {
		_, _ = h.WriteString(text[:size])
		list = append(list, h.Sum64())
		text = text[size:]
	}
	return list
}
