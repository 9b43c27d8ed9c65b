package promptcache

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
)

// Prompt holds the parts of a prompt in their order. It must not be changed once it is in use.
type Prompt []Part

// Tokens returns the number of tokens of all parts.
func (p Prompt) Tokens() int {
	sum := 0
	for _, part := range p {
		sum += part.Tokens
	}
	return sum
}

// MarshalText returns the prompt as ID:TOKENS with commas in between, the numbers in hexadecimal.
func (p Prompt) MarshalText() ([]byte, error) {
	b := make([]byte, 0, 16*len(p))
	for i, part := range p {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, part.ID, 16)
		b = append(b, ':')
		b = strconv.AppendUint(b, uint64(part.Tokens), 16)
	}
	return b, nil
}

// UnmarshalText reads what MarshalText returns.
func (p *Prompt) UnmarshalText(text []byte) error {
	*p = nil
	if len(text) == 0 {
		return nil
	}
	list := make(Prompt, 0, bytes.Count(text, []byte{','})+1)
	for item := range bytes.SplitSeq(text, []byte{','}) {
		id, tokens, _ := bytes.Cut(item, []byte{':'})
		n, err := strconv.ParseUint(string(id), 16, 64)
		if err != nil {
			return eris.Wrap(err, "ID of a prompt part")
		}
		count, err := strconv.ParseUint(string(tokens), 16, 32)
		if err != nil || count > maxTokens {
			return eris.Errorf("tokens of a prompt part: %q", tokens)
		}
		list = append(list, Part{ID: n, Tokens: int(count)})
	}
	*p = list
	return nil
}
