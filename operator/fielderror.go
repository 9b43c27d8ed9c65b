package operator

import "strings"

// FieldError says which field of a document is invalid and what is allowed there.
type FieldError struct {
	Path   string // As in teams[2].weight.
	Reason string
}

// Error returns the path and the reason.
func (e FieldError) Error() string { return e.Path + ": " + e.Reason }

// FieldErrors lists all faults of a document in the order of its fields.
type FieldErrors []FieldError

// Error returns one line per fault.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}
