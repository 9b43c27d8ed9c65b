package revision

import "fmt"

// ConflictError reports that another submission was accepted first.
type ConflictError struct {
	Base  uint64
	Other AcceptedSubmission
}

// Error names the other submission.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: based on revision %d, but revision %d by %s (submission %s) is in force",
		e.Base, e.Other.Revision, e.Other.Author, e.Other.ID)
}

// OutcomeUnknownError reports that the head no longer records whether a submission on the base revision was accepted.
type OutcomeUnknownError struct {
	ID     string
	Base   uint64
	Oldest uint64 // Lowest revision whose submission the head records.
}

// Error names the submission, its base and the lowest revision recorded in the head.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: submission %s is based on revision %d, and the head remembers those from revision %d on",
		e.ID, e.Base, e.Oldest)
}

// ReusedIDError reports that another document was accepted under the id of the submission.
type ReusedIDError struct {
	Other AcceptedSubmission
}

// Error names the accepted submission.
func (e *ReusedIDError) Error() string {
	return fmt.Sprintf("submission id %s was used for revision %d, which has another document", e.Other.ID, e.Other.Revision)
}
