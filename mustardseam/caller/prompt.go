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
	// maxPrefixBlocks bounds the hashes that travel with an ask.
	maxPrefixBlocks = 64
)

// prompt is the text of a request as the engines render it, so that equal prefixes have equal block hashes.
type prompt struct {
	text            string
	estimatedTokens int // Estimate, at least 1.
}

func newPrompt(text string) prompt { return prompt{text, max(1, len(text)/bytesPerToken)} }

// parseChatPrompt returns the prompt of a list of messages.
func parseChatPrompt(raw json.RawMessage) (prompt, error) {
	var messages []map[string]json.RawMessage
	if json.Unmarshal(raw, &messages) != nil || len(messages) == 0 {
		return prompt{}, invalidMember("messages", "a list of at least one message")
	}
	var rendered strings.Builder
	for i, m := range messages {
		var role string
		if json.Unmarshal(m["role"], &role) != nil || role == "" {
			return prompt{}, invalidMember(fmt.Sprintf("messages[%d].role", i), "a string")
		}
		text, ok := messageText(m["content"])
		if !ok {
			return prompt{}, invalidMember(fmt.Sprintf("messages[%d].content", i), "a string or a list of parts")
		}
		rendered.WriteString(role)
		rendered.WriteByte(':')
		rendered.WriteString(text)
		rendered.WriteByte('\n')
	}
	return newPrompt(rendered.String()), nil
}

// messageText returns the text of a message: a string, a list of parts, or nothing beside a tool call. Parts other than
// text add nothing to it.
func messageText(raw json.RawMessage) (string, bool) {
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

// parseTextPrompt returns the prompt of a text completion: a string, a list with one string, or tokens. A list of several
// prompts would be answered by several texts in one stream, which could not be resumed.
func parseTextPrompt(raw json.RawMessage) (prompt, error) {
	var s string
	if !isNull(raw) && json.Unmarshal(raw, &s) == nil {
		return newPrompt(s), nil
	}
	var list []json.RawMessage
	if isNull(raw) || json.Unmarshal(raw, &list) != nil || len(list) == 0 {
		return prompt{}, invalidMember("prompt", "a string, a list with one string, or a list of tokens")
	}
	var tokens []int64
	if json.Unmarshal(raw, &tokens) == nil {
		// Token lists have no text that the hashes of other requests could share.
		return prompt{estimatedTokens: len(tokens)}, nil
	}
	if len(list) != 1 {
		return prompt{}, invalidMember("prompt", "one prompt; send several prompts as several requests")
	}
	return parseTextPrompt(list[0])
}

func isNull(raw json.RawMessage) bool { return len(raw) == 0 || bytes.Equal(raw, []byte("null")) }

// prefixHashes returns the chained hashes of the whole blocks of a prompt.
func prefixHashes(text string) []uint64 {
	digest := xxhash.New()
	hashes := make([]uint64, 0, min(len(text)/blockBytes, maxPrefixBlocks))
	for len(text) >= blockBytes && len(hashes) < maxPrefixBlocks {
		_, _ = digest.WriteString(text[:blockBytes])
		hashes = append(hashes, digest.Sum64())
		text = text[blockBytes:]
	}
	return hashes
}
