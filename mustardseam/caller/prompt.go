package caller

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is a usual ratio for English text; completions correct the estimate.
	bytesPerToken = 4
	// blockBytes is the size of a prompt block of 16 tokens, the unit of the engines' prefix caches.
	blockBytes = 16 * bytesPerToken
	// maxBlocks bounds the hashes that travel with an ask.
	maxBlocks = 64
)

// completion is the part of the OpenAI API that the scheduler reads.
type completion struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	User                string          `json:"user"`
	N                   int             `json:"n"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the prompt as the engines render it, so that equal prefixes have equal block hashes.
func (c completion) text() string {
	if len(c.Messages) == 0 {
		return contentText(c.Prompt)
	}
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role)
		b.WriteByte(':')
		b.WriteString(contentText(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

// contentText returns the text of a content member: a string, a list of strings, or a list of parts.
func contentText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil {
		return strings.Join(list, "")
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return ""
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String()
}

// blocks returns the chained hashes of the whole blocks of a prompt.
func blocks(text string) []uint64 {
	d := xxhash.New()
	var list []uint64
	for len(text) >= blockBytes && len(list) < maxBlocks {
		_, _ = d.WriteString(text[:blockBytes])
		list = append(list, d.Sum64())
		text = text[blockBytes:]
	}
	return list
}
