package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is a typical ratio for English text; completed requests correct the estimate.
	bytesPerToken = 4
	// blockBytes is the estimated size of a block of 16 prompt tokens, the unit of the engines' prefix caches.
	blockBytes = 16 * bytesPerToken
	// maxPrefixBlocks bounds the number of block hashes that are sent with an ask.
	maxPrefixBlocks = 64
)

// prompt is the text of a request in the form in which engines render it, so that equal prefixes have equal block
// hashes.
type prompt struct {
	text            string // Empty for a prompt that was sent as tokens.
	estimatedTokens int    // Estimated number of tokens, at least 1.
}

func newPrompt(text string) prompt { return prompt{text, max(1, len(text)/bytesPerToken)} }

// parseChatPrompt parses the messages of a chat completion.
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

// messageText returns the text of a message's content: a string, a list of parts, or null next to a tool call. Parts
// other than text are ignored. It returns false if the content has another form.
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

// parseTextPrompt parses the prompt of a text completion: a string, a list with one string, or a list of tokens. A list
// of several prompts is refused, because its answers would share one stream, which could not be resumed.
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
		// A token list has no text, so its hashes could not match those of other requests.
		return prompt{estimatedTokens: len(tokens)}, nil
	}
	if len(list) != 1 {
		return prompt{}, invalidMember("prompt", "one prompt; send several prompts as several requests")
	}
	return parseTextPrompt(list[0])
}

func isNull(raw json.RawMessage) bool { return len(raw) == 0 || bytes.Equal(raw, []byte("null")) }

// prefixHashes returns the chained hashes of the whole blocks of a prompt, at most maxPrefixBlocks.
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
