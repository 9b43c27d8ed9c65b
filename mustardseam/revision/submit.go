package revision

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/etcd"
)

const (
	// maxPackedBytes is the largest value in bytes that the store accepts.
	maxPackedBytes = 1 << 20
	// maxHeadAttempts is the largest number of attempts to read and swap the head when answers are lost. Repeating is
	// safe: each swap names the revision of the key that it replaces, and each read looks for the submission's id
	// first.
	maxHeadAttempts = 3
)

// Submit stores the document and updates the head to it. The error may be
//   - operator.FieldErrors or a rollout.ConflictError: the submission is not allowed;
//   - a ConflictError: another submission was accepted on the same base;
//   - a ReusedIDError: the id belongs to another document;
//   - an OutcomeUnknownError: the submission is so old that its outcome can no longer be determined;
//   - etcd.ErrOutcomeUnknown: the submission may or may not be accepted, now or later; send it again with the same id;
//   - etcd.ErrUnavailable or any other: this call had no effect.
func Submit(ctx context.Context, store Store, s Submission) (AcceptedSubmission, error) {
	if err := s.check(); err != nil {
		return AcceptedSubmission{}, err
	}
	packed, digest, err := EncodeDocument(s.Document)
	if err != nil {
		return AcceptedSubmission{}, err
	}
	if len(packed) > maxPackedBytes {
		return AcceptedSubmission{}, eris.Errorf("the packed document has %d bytes; the store takes %d", len(packed), maxPackedBytes)
	}
	head, _, err := ReadHead(ctx, store)
	if err != nil {
		return AcceptedSubmission{}, asUnavailable(err, "read head")
	}
	if done, err := s.outcome(head, digest); done != nil || err != nil {
		return submissionOrZero(done), err
	}
	if err := checkRollouts(ctx, store, head, s.Document); err != nil {
		return AcceptedSubmission{}, err
	}
	if err := putIfAbsent(ctx, store, DocumentPrefix+digest, packed); err != nil {
		return AcceptedSubmission{}, asUnavailable(err, "store document")
	}
	return updateHead(ctx, store, s, digest)
}

// outcome returns the record of the submission if it is accepted, an error if it cannot be accepted, or neither if the
// head is still at the base revision.
func (s Submission) outcome(head Head, digest string) (*AcceptedSubmission, error) {
	if done, ok := head.findSubmission(s.ID); ok {
		if done.Digest != digest {
			return nil, &ReusedIDError{Other: done}
		}
		return &done, nil
	}
	if head.Revision == s.Base {
		return nil, nil
	}
	if !head.covers(s.Base) {
		return nil, &OutcomeUnknownError{ID: s.ID, Base: s.Base, Oldest: head.Submissions[0].Revision}
	}
	return nil, newConflictError(s, head)
}

// updateHead swaps the head. After a lost answer it reads the head to learn whether the swap took effect.
func updateHead(ctx context.Context, store Store, s Submission, digest string) (AcceptedSubmission, error) {
	var uncertain, last error // Error of a swap that may still take effect, and error of the last failed attempt.
	for range maxHeadAttempts {
		head, mod, err := ReadHead(ctx, store)
		if err != nil {
			last = err
			continue
		}
		if done, err := s.outcome(head, digest); done != nil || err != nil {
			return submissionOrZero(done), err
		}
		ok, err := swapHead(ctx, store, head.withSubmission(s.record(digest)), mod)
		if ok {
			return s.record(digest), nil
		}
		if err != nil {
			last = err
		}
		if err != nil && !errors.Is(err, etcd.ErrUnavailable) {
			uncertain = err
		}
	}
	if uncertain != nil {
		return AcceptedSubmission{}, eris.Wrapf(etcd.ErrOutcomeUnknown, "move head: %v", uncertain)
	}
	return AcceptedSubmission{}, asUnavailable(last, "move head")
}

func swapHead(ctx context.Context, store Store, next Head, mod int64) (bool, error) {
	value, err := next.encode()
	if err != nil {
		return false, err
	}
	_, ok, err := store.CompareAndSwap(ctx, HeadKey, value, mod)
	return ok && err == nil, err
}

// asUnavailable converts an error to etcd.ErrUnavailable. It is used where the head cannot have changed despite a lost
// answer.
func asUnavailable(err error, step string) error {
	return eris.Wrapf(etcd.ErrUnavailable, "%s: %v", step, err)
}

func submissionOrZero(s *AcceptedSubmission) AcceptedSubmission {
	if s == nil {
		return AcceptedSubmission{}
	}
	return *s
}

func newConflictError(s Submission, head Head) error {
	e := &ConflictError{Base: s.Base, Other: AcceptedSubmission{Revision: head.Revision}}
	if n := len(head.Submissions); n > 0 {
		e.Other = head.Submissions[n-1]
	}
	return e
}
