package strict

import (
	"fmt"
	"strings"
)

// FieldError reports an invalid field, its position and the values that it allows.
type FieldError struct {
	Path   string `json:"path"`           // Path of the field, as in teams[2].weight; empty for the whole document.
	Line   int    `json:"line,omitempty"` // Line of the value; 0 when it was not read from a file or is missing there.
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

// FieldErrors lists all invalid fields of a document.
type FieldErrors []FieldError

// Error returns one line per invalid field.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, fieldError := range e {
		lines[i] = fieldError.Error()
	}
	return strings.Join(lines, "\n")
}
