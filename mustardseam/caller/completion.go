package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

const (
	// maxCountedOutputTokens caps the output length that is used in the cost estimate of a request, so that a caller
	// that sets no real limit cannot overflow the accounting. The engine still gets the limit that the caller sent.
	maxCountedOutputTokens = 1 << 20
	// maxUserBytes bounds the length of a group name, which the home keeps while the group has requests.
	maxUserBytes = 256
)

// completion holds the members of an OpenAI completion request that the scheduler uses.
type completion struct {
	model           string
	prompt          prompt
	maxOutputTokens int // Maximum number of output tokens; 0 if the caller set no limit.
	stream          bool
	user            string // Name of the group, the second level of fairness.
}

// invalidMember returns the error for a member that is missing or has the wrong form.
func invalidMember(member, allowed string) error { return fmt.Errorf("%s must be %s", member, allowed) }

// parseCompletion parses the body of a completion request. Members are looked up by their exact names, as engines do:
// encoding/json ignores the case of the names of struct fields, so that "N" next to "n" would hide the value that the
// engine uses.
func parseCompletion(body []byte, chat bool) (completion, error) {
	if !utf8.Valid(body) {
		return completion{}, errors.New("the body is not valid UTF-8")
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(body, &members); err != nil {
		return completion{}, fmt.Errorf("the body is not a JSON object: %w", err)
	}
	var c completion
	var err error
	if chat {
		c.prompt, err = parseChatPrompt(members["messages"])
	} else {
		c.prompt, err = parseTextPrompt(members["prompt"])
	}
	if err != nil {
		return completion{}, err
	}
	return c, c.parseOptions(members)
}

// parseOptions parses all members except the prompt.
func (c *completion) parseOptions(members map[string]json.RawMessage) error {
	choices, bestOf, maxTokens, maxCompletionTokens := 1, 1, 0, 0
	for _, m := range []struct {
		name, allowed string
		dest          any
		valid         func() bool
	}{
		{"model", "a string", &c.model, func() bool { return c.model != "" }},
		{"stream", "true or false", &c.stream, nil},
		{"user", fmt.Sprintf("a string of at most %d bytes", maxUserBytes), &c.user, func() bool { return len(c.user) <= maxUserBytes }},
		{"n", "1", &choices, func() bool { return choices == 1 }},
		{"best_of", "1", &bestOf, func() bool { return bestOf == 1 }},
		{"max_tokens", "a whole number of at least 0", &maxTokens, func() bool { return maxTokens >= 0 }},
		{"max_completion_tokens", "a whole number of at least 0", &maxCompletionTokens, func() bool { return maxCompletionTokens >= 0 }},
	} {
		if !isNull(members[m.name]) && json.Unmarshal(members[m.name], m.dest) != nil {
			return invalidMember(m.name, m.allowed)
		}
		if m.valid != nil && !m.valid() {
			return invalidMember(m.name, m.allowed)
		}
	}
	c.maxOutputTokens = min(max(maxTokens, maxCompletionTokens), maxCountedOutputTokens)
	return nil
}
