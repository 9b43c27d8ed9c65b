package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

const (
	// maxOutputTokens bounds the output length that counts for the estimate of a request's cost, so that a caller that sets no
	// real limit does not overflow the accounts; the engine gets the caller's own figure.
	maxOutputTokens = 1 << 20
	// maxUserBytes bounds the name of a group in bytes, which the home keeps while the group has requests.
	maxUserBytes = 256
)

// completion is the part of the OpenAI API that the scheduler reads.
type completion struct {
	model     string
	prompt    prompt
	maxOutput int // Longest output in tokens; 0 when the caller sets no limit.
	stream    bool
	user      string
}

// invalidMember returns the error of a member that is missing or has the wrong form.
func invalidMember(member, allowed string) error { return fmt.Errorf("%s must be %s", member, allowed) }

// parseCompletion reads the body of a request. Members are looked up by their exact names, as engines do: the usual
// decoding of Go ignores the case, so that "N" beside "n" would hide what the engine runs.
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

// parseOptions reads the members other than the prompt.
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
	c.maxOutput = min(max(maxTokens, maxCompletionTokens), maxOutputTokens)
	return nil
}
