package promptcache

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Part is a part of a prompt.
type Part struct {
	ID     uint64 // See ParseID.
	Tokens int
}

const (
	// maxIDDigits is the number of hexadecimal digits that fit in a part's ID.
	maxIDDigits = 16
	// maxTokens bounds the tokens of a part; a larger number is not plausible.
	maxTokens = 1 << 24
)

// NewPart returns the part with an ID as text. Its tokens are limited to what is plausible.
func NewPart(id string, tokens int) Part {
	return Part{ID: ParseID(id), Tokens: min(max(0, tokens), maxTokens)}
}

// ParseID returns the number that an ID in hexadecimal stands for. Any other text is hashed, so that the parts of one
// prompt stay distinct.
func ParseID(text string) uint64 {
	if len(text) <= maxIDDigits {
		if id, err := strconv.ParseUint(text, 16, 64); err == nil {
			return id
		}
	}
	return xxhash.Sum64String(strings.ToLower(text))
}
