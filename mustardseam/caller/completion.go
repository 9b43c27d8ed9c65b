package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"unicode/utf8"
)

const (
	// maxOutput bounds the output length that counts for the estimate of a request's cost, so that a caller that sets no
	// real limit does not overflow the accounts; the engine gets the caller's own figure.
	maxOutput = 1 << 20
	// maxUser bounds the name of a group in bytes, which the home keeps while the group has requests.
	maxUser = 256
)

// completion is the part of the OpenAI API that the scheduler reads.
type completion struct {
	model  string
	prompt prompt
	output int // Longest output in tokens; 0 when the caller sets no limit.
	stream bool
	user   string
}

// invalid returns the error of a member that is missing or has the wrong form.
func invalid(member, allowed string) error { return fmt.Errorf("%s must be %s", member, allowed) }

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
		c.prompt, err = chatPrompt(members["messages"])
	} else {
		c.prompt, err = textPrompt(members["prompt"])
	}
	if err != nil {
		return completion{}, err
	}
	return c, c.options(members)
}

// options reads the members other than the prompt.
func (c *completion) options(members map[string]json.RawMessage) error {
	one, bestOf, tokens, completionTokens := 1, 1, 0, 0
	for _, m := range []struct {
		name, allowed string
		to            any
		valid         func() bool
	}{
		{"model", "a string", &c.model, func() bool { return c.model != "" }},
		{"stream", "true or false", &c.stream, nil},
		{"user", fmt.Sprintf("a string of at most %d bytes", maxUser), &c.user, func() bool { return len(c.user) <= maxUser }},
		{"n", "1", &one, func() bool { return one == 1 }},
		{"best_of", "1", &bestOf, func() bool { return bestOf == 1 }},
		{"max_tokens", "a whole number of at least 0", &tokens, func() bool { return tokens >= 0 }},
		{"max_completion_tokens", "a whole number of at least 0", &completionTokens, func() bool { return completionTokens >= 0 }},
	} {
		if !isNull(members[m.name]) && json.Unmarshal(members[m.name], m.to) != nil {
			return invalid(m.name, m.allowed)
		}
		if m.valid != nil && !m.valid() {
			return invalid(m.name, m.allowed)
		}
	}
	c.output = min(max(tokens, completionTokens), maxOutput)
	return nil
}
