package revision

import (
	"strings"
	"time"
	"unicode"

	"github.com/mustardseam/mustardseam/operator"
)

// maxName bounds an id and an author in bytes, which keeps the head small.
const maxName = 64

// Submission is a document on its way to acceptance.
type Submission struct {
	ID       string // Unique; settles a lost answer.
	Author   string
	Base     uint64 // Revision that the operator started from; 0 for the first submission.
	Document operator.Document
	At       time.Time
}

// check returns nil or operator.FieldErrors.
func (s Submission) check() error {
	var faults operator.FieldErrors
	if s.ID == "" {
		faults = append(faults, operator.FieldError{Path: "id", Reason: "must not be empty"})
	}
	for _, f := range []struct{ path, value string }{{"id", s.ID}, {"author", s.Author}} {
		if len(f.value) > maxName || strings.ContainsFunc(f.value, unicode.IsControl) {
			faults = append(faults, operator.FieldError{Path: f.path, Reason: "must have at most 64 bytes and no control characters"})
		}
	}
	if faults != nil {
		return faults
	}
	return s.Document.Validate()
}

// accepted returns the record of the submission once it is accepted with the digest.
func (s Submission) accepted(digest string) Submit {
	return Submit{ID: s.ID, Revision: s.Base + 1, Digest: digest, Author: s.Author, At: s.At.Round(0)}
}
