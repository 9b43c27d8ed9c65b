package revision

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/etcd"
	"github.com/mustardseam/mustardseam/operator"
)

// Store is what submissions need of the platform's store.
type Store interface {
	Get(ctx context.Context, key string) (etcd.KeyValue, bool, error)
	Swap(ctx context.Context, key string, value []byte, last int64) (int64, bool, error)
}

// Submission is a document on its way to acceptance.
type Submission struct {
	ID       string // Unique; settles a lost answer.
	Author   string
	Base     uint64 // Revision that the operator started from; 0 for the first submission.
	Document operator.Document
	At       time.Time
}

// ConflictError says that another submission was accepted first.
type ConflictError struct {
	Base  uint64
	Other Submit
}

// Error names the other submission.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: based on revision %d, but revision %d by %s (submission %s) is in force",
		e.Base, e.Other.Revision, e.Other.Author, e.Other.ID)
}

// Send stores the document and moves the head to it; the error may be operator.FieldErrors, a ConflictError, or
// etcd.ErrUnanswered when the outcome could not be found out.
func Send(ctx context.Context, store Store, s Submission) (Submit, error) {
	if err := s.Document.Validate(); err != nil {
		return Submit{}, err
	}
	packed, digest, err := Encode(s.Document)
	if err != nil {
		return Submit{}, err
	}
	if err := putOnce(ctx, store, DocPrefix+digest, packed); err != nil {
		return Submit{}, err
	}
	return moveHead(ctx, store, s, digest)
}

// putOnce writes a key whose name is its content's digest; another writer can only have written the same.
func putOnce(ctx context.Context, store Store, key string, value []byte) error {
	if _, ok, err := store.Get(ctx, key); err != nil || ok {
		return err
	}
	_, _, err := store.Swap(ctx, key, value, 0)
	if err == nil {
		return nil
	}
	_, ok, again := store.Get(ctx, key)
	if again == nil && ok {
		return nil
	}
	return err
}

// moveHead swaps the head and settles a lost answer by reading it back.
func moveHead(ctx context.Context, store Store, s Submission, digest string) (Submit, error) {
	head, mod, err := ReadHead(ctx, store)
	if err != nil {
		return Submit{}, err
	}
	if done, ok := head.find(s.ID); ok {
		return done, nil
	}
	if head.Revision != s.Base {
		return Submit{}, conflict(s, head)
	}
	record := Submit{ID: s.ID, Revision: head.Revision + 1, Digest: digest, Author: s.Author, At: s.At}
	value, err := json.Marshal(head.with(record))
	if err != nil {
		return Submit{}, eris.Wrap(err, "encode head")
	}
	_, ok, err := store.Swap(ctx, HeadKey, value, mod)
	if err == nil && ok {
		return record, nil
	}
	return settle(ctx, store, s, err)
}

// settle finds out what became of a swap that failed or whose answer was lost.
func settle(ctx context.Context, store Store, s Submission, cause error) (Submit, error) {
	head, _, err := ReadHead(ctx, store)
	if err != nil && cause != nil {
		return Submit{}, cause
	}
	if err != nil {
		return Submit{}, err
	}
	if done, ok := head.find(s.ID); ok {
		return done, nil
	}
	if cause != nil && head.Revision == s.Base {
		return Submit{}, cause
	}
	return Submit{}, conflict(s, head)
}

func conflict(s Submission, head Head) error {
	e := &ConflictError{Base: s.Base, Other: Submit{Revision: head.Revision}}
	if n := len(head.Submits); n > 0 {
		e.Other = head.Submits[n-1]
	}
	return e
}

// ReadHead reads the head and the store's revision of its key; a store without a head yields zero values.
func ReadHead(ctx context.Context, store Store) (Head, int64, error) {
	kv, ok, err := store.Get(ctx, HeadKey)
	if err != nil || !ok {
		return Head{}, 0, err
	}
	var h Head
	if err := json.Unmarshal(kv.Value, &h); err != nil {
		return Head{}, 0, eris.Wrap(err, "decode head")
	}
	return h, kv.ModRevision, nil
}

// Fetch reads the document of a digest from the store.
func Fetch(ctx context.Context, store Store, digest string) ([]byte, error) {
	kv, ok, err := store.Get(ctx, DocPrefix+digest)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, eris.Errorf("read configuration: no document %s in the store", digest)
	}
	return kv.Value, nil
}
