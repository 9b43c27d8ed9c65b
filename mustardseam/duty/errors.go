package duty

import "errors"

// Errors of calls to the store that an Election tells apart.
var (
	// ErrNoLease reports that a lease has ended.
	ErrNoLease = errors.New("lease has ended")
	// ErrConflict reports that the record was changed by another instance.
	ErrConflict = errors.New("record was changed by another instance")
)
