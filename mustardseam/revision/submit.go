package revision

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/etcd"
)

const (
	// maxPacked is the largest value in bytes that the store takes.
	maxPacked = 1 << 20
	// attempts is how often the head is read and swapped when answers are lost. Repeating is safe: each swap names the
	// revision of the key that it replaces, and each read looks for the submission's id first.
	attempts = 3
)

// Send stores the document and moves the head to it. The error may be
//   - operator.FieldErrors or a rollout.ConflictError: the submission is not allowed;
//   - a ConflictError: another submission was accepted on the same base;
//   - a ReusedError: the id belongs to another document;
//   - a ForgottenError: the submission is so old that its outcome cannot be found out;
//   - etcd.ErrUnanswered: the submission may or may not be accepted, now or later; send it again with the same id;
//   - etcd.ErrUnavailable or any other: this call had no effect.
func Send(ctx context.Context, store Store, s Submission) (Submit, error) {
	if err := s.check(); err != nil {
		return Submit{}, err
	}
	packed, digest, err := Encode(s.Document)
	if err != nil {
		return Submit{}, err
	}
	if len(packed) > maxPacked {
		return Submit{}, eris.Errorf("the packed document has %d bytes; the store takes %d", len(packed), maxPacked)
	}
	head, _, err := ReadHead(ctx, store)
	if err != nil {
		return Submit{}, harmless(err, "read head")
	}
	if done, err := s.decided(head, digest); done != nil || err != nil {
		return value(done), err
	}
	if err := checkRollouts(ctx, store, head, s.Document); err != nil {
		return Submit{}, err
	}
	if err := putOnce(ctx, store, DocPrefix+digest, packed); err != nil {
		return Submit{}, harmless(err, "store document")
	}
	return moveHead(ctx, store, s, digest)
}

// decided returns the record of an accepted submission, the error of one that cannot be accepted, or neither while the
// head still shows the base revision.
func (s Submission) decided(head Head, digest string) (*Submit, error) {
	if done, ok := head.find(s.ID); ok {
		if done.Digest != digest {
			return nil, &ReusedError{Other: done}
		}
		return &done, nil
	}
	if head.Revision == s.Base {
		return nil, nil
	}
	if !head.remembers(s.Base) {
		return nil, &ForgottenError{ID: s.ID, Base: s.Base, Oldest: head.Submits[0].Revision}
	}
	return nil, conflict(s, head)
}

// moveHead swaps the head, and settles lost answers by reading it back.
func moveHead(ctx context.Context, store Store, s Submission, digest string) (Submit, error) {
	var open, last error // Why a swap may still take effect, and why the latest attempt failed.
	for range attempts {
		head, mod, err := ReadHead(ctx, store)
		if err != nil {
			last = err
			continue
		}
		if done, err := s.decided(head, digest); done != nil || err != nil {
			return value(done), err
		}
		ok, err := swapHead(ctx, store, head.with(s.accepted(digest)), mod)
		if ok {
			return s.accepted(digest), nil
		}
		if err != nil {
			last = err
		}
		if err != nil && !errors.Is(err, etcd.ErrUnavailable) {
			open = err
		}
	}
	if open != nil {
		return Submit{}, eris.Wrapf(etcd.ErrUnanswered, "move head: %v", open)
	}
	return Submit{}, harmless(last, "move head")
}

func swapHead(ctx context.Context, store Store, next Head, mod int64) (bool, error) {
	value, err := next.encode()
	if err != nil {
		return false, err
	}
	_, ok, err := store.Swap(ctx, HeadKey, value, mod)
	return ok && err == nil, err
}

// harmless turns an error into etcd.ErrUnavailable, where no answer that was lost can have moved the head.
func harmless(err error, step string) error {
	return eris.Wrapf(etcd.ErrUnavailable, "%s: %v", step, err)
}

func value(s *Submit) Submit {
	if s == nil {
		return Submit{}
	}
	return *s
}

func conflict(s Submission, head Head) error {
	e := &ConflictError{Base: s.Base, Other: Submit{Revision: head.Revision}}
	if n := len(head.Submits); n > 0 {
		e.Other = head.Submits[n-1]
	}
	return e
}
