package engine

import (
	"errors"
	"fmt"
)

// ErrNotRun says that the engine certainly did not run the request.
var ErrNotRun = errors.New("engine did not run the request")

// ErrBroken says that the stream broke off or fell silent before its end.
var ErrBroken = errors.New("engine stream broke off")

// StatusError is an answer other than 200, after which the request may have run.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the status.
func (e *StatusError) Error() string { return fmt.Sprintf("engine answered status %d", e.Status) }
