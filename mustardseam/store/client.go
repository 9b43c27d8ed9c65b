package store

import (
	"context"
	"errors"
	"time"
)

// Errors of a Client that callers test for with errors.Is.
var (
	// ErrCompacted reports that the store no longer holds all changes after the revision of a watch.
	ErrCompacted = errors.New("history is no longer available")
	// ErrConflict reports that a key is not at the expected revision.
	ErrConflict = errors.New("key was changed by another writer")
	// ErrRestored reports that the store came back from a copy, so that revisions known before are not valid any more.
	ErrRestored = errors.New("store was restored from a copy")
	// errOutdated reports an answer that was made before the store was restored.
	errOutdated = errors.New("answer is from before the store was restored")
)

// Client reads and writes the metadata store.
type Client interface {
	// List returns all items and a position after which a watch misses no change. It fails when a page of the list takes
	// longer than the given time.
	List(ctx context.Context, page time.Duration) (items []Item, at Position, err error)
	// Watch is a long poll: it returns the changes after a revision as soon as there is one, or none after the wait, and the
	// position up to which they are complete. The era is that of the store's answer, also with ErrCompacted.
	Watch(ctx context.Context, after int64, wait time.Duration) (items []Item, at Position, err error)
	// Put writes a key if it is at the expected revision, 0 for a key that does not exist, and returns the position of the
	// write.
	Put(ctx context.Context, key string, value []byte, expect int64) (at Position, err error)
}
