package revision

import (
	"strings"
	"time"
	"unicode"

	"github.com/mustardseam/mustardseam/operator"
)

// maxNameBytes is the largest length of an id or an author in bytes. It keeps the head small.
const maxNameBytes = 64

// Submission is a document submitted for acceptance.
type Submission struct {
	ID       string // Unique; a retry with the same id returns the outcome after a lost answer.
	Author   string
	Base     uint64 // Revision that the operator edited; 0 for the first submission.
	Document operator.Document
	At       time.Time
}

// check validates the submission and returns nil or operator.FieldErrors.
func (s Submission) check() error {
	var faults operator.FieldErrors
	if s.ID == "" {
		faults = append(faults, operator.FieldError{Path: "id", Reason: "must not be empty"})
	}
	for _, f := range []struct{ path, value string }{{"id", s.ID}, {"author", s.Author}} {
		if len(f.value) > maxNameBytes || strings.ContainsFunc(f.value, unicode.IsControl) {
			faults = append(faults, operator.FieldError{Path: f.path, Reason: "must have at most 64 bytes and no control characters"})
		}
	}
	if faults != nil {
		return faults
	}
	return s.Document.Validate()
}

// record returns the head's record of the submission, which is accepted with the digest.
func (s Submission) record(digest string) AcceptedSubmission {
	return AcceptedSubmission{ID: s.ID, Revision: s.Base + 1, Digest: digest, Author: s.Author, At: s.At.Round(0)}
}
