package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
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

// prompt is the text of a request as the engines render it, so that equal prefixes have equal block hashes.
type prompt struct {
	text   string
	tokens int // Estimate, at least 1.
}

func newPrompt(text string) prompt { return prompt{text, max(1, len(text)/bytesPerToken)} }

// chatPrompt returns the prompt of a list of messages.
func chatPrompt(raw json.RawMessage) (prompt, error) {
	var list []map[string]json.RawMessage
	if json.Unmarshal(raw, &list) != nil || len(list) == 0 {
		return prompt{}, invalid("messages", "a list of at least one message")
	}
	var b strings.Builder
	for i, m := range list {
		var role string
		if json.Unmarshal(m["role"], &role) != nil || role == "" {
			return prompt{}, invalid(fmt.Sprintf("messages[%d].role", i), "a string")
		}
		text, ok := contentText(m["content"])
		if !ok {
			return prompt{}, invalid(fmt.Sprintf("messages[%d].content", i), "a string or a list of parts")
		}
		b.WriteString(role)
		b.WriteByte(':')
		b.WriteString(text)
		b.WriteByte('\n')
	}
	return newPrompt(b.String()), nil
}

// contentText returns the text of a message: a string, a list of parts, or nothing beside a tool call. Parts other than
// text add nothing to it.
func contentText(raw json.RawMessage) (string, bool) {
	if isNull(raw) {
		return "", true
	}
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s, true
	}
	var parts []map[string]json.RawMessage
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	var b strings.Builder
	for _, p := range parts {
		if isNull(p["text"]) {
			continue
		}
		if json.Unmarshal(p["text"], &s) != nil {
			return "", false
		}
		b.WriteString(s)
	}
	return b.String(), true
}

// textPrompt returns the prompt of a text completion: a string, a list with one string, or tokens. A list of several
// prompts would be answered by several texts in one stream, which could not be resumed.
func textPrompt(raw json.RawMessage) (prompt, error) {
	var s string
	if !isNull(raw) && json.Unmarshal(raw, &s) == nil {
		return newPrompt(s), nil
	}
	var list []json.RawMessage
	if isNull(raw) || json.Unmarshal(raw, &list) != nil || len(list) == 0 {
		return prompt{}, invalid("prompt", "a string, a list with one string, or a list of tokens")
	}
	var tokens []int64
	if json.Unmarshal(raw, &tokens) == nil {
		// Token lists have no text that the hashes of other requests could share.
		return prompt{tokens: len(tokens)}, nil
	}
	if len(list) != 1 {
		return prompt{}, invalid("prompt", "one prompt; send several prompts as several requests")
	}
	return textPrompt(list[0])
}

func isNull(raw json.RawMessage) bool { return len(raw) == 0 || bytes.Equal(raw, []byte("null")) }

// blocks returns the chained hashes of the whole blocks of a prompt.
func blocks(text string) []uint64 {
	d := xxhash.New()
	list := make([]uint64, 0, min(len(text)/blockBytes, maxBlocks))
	for len(text) >= blockBytes && len(list) < maxBlocks {
		_, _ = d.WriteString(text[:blockBytes])
		list = append(list, d.Sum64())
		text = text[blockBytes:]
	}
	return list
}
