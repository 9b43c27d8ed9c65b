package store

import (
	"context"
	"errors"
	"time"
)

// Errors of a Client that its users branch on.
var (
	// ErrCompacted says that the store has dropped the history after the revision.
	ErrCompacted = errors.New("history is no longer available")
	// ErrConflict says that the key is not at the expected revision.
	ErrConflict = errors.New("key was changed by another writer")
)

// Client reads and writes the store.
type Client interface {
	// List returns all items, and a revision from which a watch misses nothing. It fails when a page takes longer than the
	// given time.
	List(ctx context.Context, page time.Duration) (items []Item, revision int64, err error)
	// Watch returns what changed after a revision, as soon as anything did or when the wait is over.
	Watch(ctx context.Context, after int64, wait time.Duration) (items []Item, revision int64, err error)
	// Put writes a key that is at the expected revision, 0 for a key that does not exist, and returns the new revision.
	Put(ctx context.Context, key string, value []byte, expect int64) (revision int64, err error)
}
