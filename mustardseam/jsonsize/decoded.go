package jsonsize

import "bytes"

const (
	// containerBytes is the memory of an object or array beside its values: the largest struct of a message, in a slice that has been
	// copied as it grew.
	containerBytes = 512
	// valueBytes is the memory of a value in an object or array: a map entry with a short key.
	valueBytes = 64
)

// MaxDecoded is the limit of Decoded, in bytes, for a text of another program.
const MaxDecoded = 32 << 20

// Decoded returns an upper bound, in bytes, of the memory that a JSON text takes when it is decoded, beside the contents of its strings.
func Decoded(text []byte) int64 {
	containers, values := 0, 0
	for n := 0; n < len(text); n++ {
		switch text[n] {
		case '{', '[':
			containers++
		case ',':
			values++
		case '"':
			n += stringLength(text[n+1:])
		}
	}
	return int64(containers)*containerBytes + int64(values)*valueBytes
}

// stringLength returns the length of a string that begins after its opening quote, including the closing quote; the rest of the text if
// there is none.
func stringLength(text []byte) int {
	for n := 0; n < len(text); n++ {
		skip := bytes.IndexByte(text[n:], '"')
		if skip < 0 {
			return len(text)
		}
		escape := bytes.IndexByte(text[n:n+skip], '\\')
		if escape < 0 {
			return n + skip + 1
		}
		n += escape + 1 // The escaped character may be a quote.
	}
	return len(text)
}
