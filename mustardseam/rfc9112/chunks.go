package rfc9112

import (
	"bytes"
	"fmt"
	"strconv"
)

const (
	// maxTrailerBytes is the maximum size of the trailer section of a chunked body.
	maxTrailerBytes = 16 << 10
	// maxExcessBytes is how much longer the lines before chunks may be than twice their content and bytesPerChunk for each.
	maxExcessBytes = 16 << 10
	bytesPerChunk  = 16
)

// chunkPhase is what is read next of a chunked body.
type chunkPhase int

const (
	chunkSize chunkPhase = iota
	chunkData
	trailerSection
	chunksDone
)

// chunkScanner follows a chunked body (RFC 9112 section 7.1) line by line.
type chunkScanner struct {
	phase        chunkPhase
	remaining    int64 // Bytes of the chunk that were not read, in the phase chunkData.
	trailerBytes int
	excess       int64 // Bytes of lines less what the content allows.
}

// next checks the line that follows, with its end.
func (s *chunkScanner) next(line []byte) error {
	content, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return fmt.Errorf("%w: end of line in a chunked body", ErrMalformed)
	}
	switch s.phase {
	case chunkSize:
		n, err := parseChunkSize(content)
		if err != nil {
			return err
		}
		if s.remaining, s.phase = n, chunkData; n == 0 {
			s.phase = trailerSection
		}
		if s.excess += int64(len(line)) - bytesPerChunk - 2*min(n, maxExcessBytes); s.excess > maxExcessBytes {
			return fmt.Errorf("%w: extensions of chunks are too long", ErrMalformed)
		}
		s.excess = max(s.excess, 0)
	case chunkData:
		if len(content) > 0 {
			return fmt.Errorf("%w: chunk without an end", ErrMalformed)
		}
		s.phase = chunkSize
	case trailerSection:
		if len(content) == 0 {
			s.phase = chunksDone
			return nil
		}
		s.trailerBytes += len(line)
		if _, _, ok := splitField(content); !ok || s.trailerBytes > maxTrailerBytes {
			return fmt.Errorf("%w: trailer %q", ErrMalformed, excerpt(content))
		}
	}
	return nil
}

// parseChunkSize parses the size of a chunk and its extensions.
func parseChunkSize(line []byte) (int64, error) {
	size, extensions := line, []byte(nil)
	if i := bytes.IndexAny(line, " \t;"); i >= 0 {
		size, extensions = line[:i], line[i:]
	}
	for _, c := range size {
		if !isHexDigit(c) {
			return 0, fmt.Errorf("%w: chunk size %q", ErrMalformed, excerpt(line))
		}
	}
	n, err := strconv.ParseInt(string(size), 16, 64)
	if err != nil || !isExtensions(extensions) {
		return 0, fmt.Errorf("%w: chunk size %q", ErrMalformed, excerpt(line))
	}
	return n, nil
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// isExtensions reports whether b is a possibly empty list of chunk extensions (RFC 9112 section 7.1.1).
func isExtensions(b []byte) bool {
	for len(b) > 0 {
		rest, ok := bytes.CutPrefix(trimBlanks(b), []byte(";"))
		if !ok {
			return false
		}
		rest = bytes.TrimLeft(rest, " \t")
		n := tokenLength(rest)
		if n == 0 {
			return false
		}
		b = rest[n:]
		value, ok := bytes.CutPrefix(bytes.TrimLeft(b, " \t"), []byte("="))
		if !ok {
			continue
		}
		value = bytes.TrimLeft(value, " \t")
		if n = tokenLength(value); n == 0 {
			n = quotedLength(value)
		}
		if n == 0 {
			return false
		}
		b = value[n:]
	}
	return true
}

func tokenLength(b []byte) int {
	n := 0
	for n < len(b) && isTokenByte[b[n]] {
		n++
	}
	return n
}

// quotedLength returns the length of the quoted string at the beginning of b (RFC 9110 section 5.6.4); 0 if there is none.
func quotedLength(b []byte) int {
	if len(b) == 0 || b[0] != '"' {
		return 0
	}
	for n := 1; n < len(b); n++ {
		switch c := b[n]; {
		case c == '"':
			return n + 1
		case c == '\\':
			n++
			if n == len(b) || !isText(b[n:n+1]) {
				return 0
			}
		case !isText(b[n : n+1]):
			return 0
		}
	}
	return 0
}
