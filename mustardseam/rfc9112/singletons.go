package rfc9112

import "strings"

// Fields describes response fields beyond the standard.
type Fields struct {
	Identity   string   // Field that names the request; empty if there is none.
	Singletons []string // Other fields that may occur only once.
}

// Singletons is a set of response fields that may occur only once.
type Singletons struct {
	index    map[string]int // Index of each name, in lower case.
	identity uint64         // Bit of the field that names the request; 0 if there is none.
}

// standardSingletons lists the response fields of RFC 9110 and RFC 9111 that are not lists.
var standardSingletons = []string{
	contentLength, transferEncoding, "age", "content-location", "content-range", "content-type", "date", "etag", "expires",
	"last-modified", "location", "retry-after", "server",
}

const (
	contentLength    = "content-length"
	transferEncoding = "transfer-encoding"
	// maxSingletons is the number of names that fit into the set of those that were seen.
	maxSingletons = 64
	// maxSingletonName is the maximum length of a name.
	maxSingletonName = 64
)

// NewSingletons returns the standard fields that may occur only once and those given. It panics if there are more than 64 or if a
// name is longer than 64 bytes.
func NewSingletons(f Fields) *Singletons {
	s := &Singletons{index: map[string]int{}}
	add := func(name string) {
		if name = strings.ToLower(name); len(name) > maxSingletonName || len(s.index) == maxSingletons {
			panic("rfc9112: name is too long, or too many names")
		}
		s.index[name] = len(s.index)
	}
	if f.Identity != "" {
		add(f.Identity)
		s.identity = 1
	}
	for _, list := range [][]string{standardSingletons, f.Singletons} {
		for _, name := range list {
			add(name)
		}
	}
	return s
}

// find returns the name in lower case and its index; false if the field may occur more than once.
func (s *Singletons) find(name []byte) (lower string, index int, ok bool) {
	if len(name) > maxSingletonName {
		return "", 0, false
	}
	var b [maxSingletonName]byte
	for i, c := range name {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		b[i] = c
	}
	index, ok = s.index[string(b[:len(name)])]
	if !ok {
		return "", 0, false
	}
	switch index {
	case s.index[contentLength]:
		return contentLength, index, true
	case s.index[transferEncoding]:
		return transferEncoding, index, true
	}
	return "", index, true
}

// contains reports whether a set of singletons, by index, has the one with the given name in lower case.
func (s *Singletons) contains(set uint64, name string) bool { return set&(1<<s.index[name]) != 0 }
