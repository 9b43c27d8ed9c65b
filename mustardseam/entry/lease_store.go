package entry

import (
	"context"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/store"
)

// LeaseStore makes the calls to the store that keep the record of the holder of the duties. The position of an answer has the
// era of the store; its revision is set after a write only.
type LeaseStore interface {
	// GrantLease returns a lease that ends after the given time unless it is renewed.
	GrantLease(ctx context.Context, ttl time.Duration) (lease int64, at store.Position, err error)
	// RenewLease renews a lease. It returns duty.ErrNoLease if the lease has ended.
	RenewLease(ctx context.Context, lease int64) (at store.Position, err error)
	// EndLease ends a lease, which removes its keys.
	EndLease(ctx context.Context, lease int64) error
	// PutLeased writes a key that is removed at the end of a lease, if it is at the expected revision, 0 for a key that does
	// not exist. It returns duty.ErrNoLease or duty.ErrConflict if the write was refused.
	PutLeased(ctx context.Context, key string, value []byte, expect, lease int64) (at store.Position, err error)
}
