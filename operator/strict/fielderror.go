package strict

import (
	"fmt"
	"strings"
)

// FieldError says which field is invalid, where it stands and what is allowed there.
type FieldError struct {
	Path   string `json:"path"`           // As in teams[2].weight; empty for the document as a whole.
	Line   int    `json:"line,omitempty"` // 0 when the value was not read from a file or is missing there.
	Reason string `json:"reason"`
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

// FieldErrors lists all faults of a document.
type FieldErrors []FieldError

// Error returns one line per fault.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}
