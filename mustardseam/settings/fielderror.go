package settings

import (
	"fmt"
	"slices"
	"strings"
)

// FieldError says which field is invalid, where it stands and what is allowed there.
type FieldError struct {
	Path   string // As in store.addresses[0]; empty for the document as a whole.
	Line   int    // 0 when the field does not stand in the file.
	Reason string
}

// Error returns the line and the path, where known, and the reason.
func (e FieldError) Error() string {
	text := e.Reason
	if e.Path != "" {
		text = e.Path + ": " + text
	}
	if e.Line > 0 {
		text = fmt.Sprintf("line %d: %s", e.Line, text)
	}
	return text
}

// FieldErrors lists all faults of a file, those without a line first.
type FieldErrors []FieldError

// Error returns one line per fault.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

func (e FieldErrors) sorted() FieldErrors {
	slices.SortStableFunc(e, func(a, b FieldError) int { return a.Line - b.Line })
	return e
}
