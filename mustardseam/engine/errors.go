package engine

import (
	"errors"
	"fmt"
)

// ErrNotRun means that the engine certainly did not run the request.
var ErrNotRun = errors.New("engine did not run the request")

// ErrStreamBroken means that the stream broke off or went silent before its end.
var ErrStreamBroken = errors.New("engine stream broke off")

// StatusError is a response with a status other than 200 for a stream, or other than 2xx for another call. The request
// may have run.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns a message with the status.
func (e *StatusError) Error() string { return fmt.Sprintf("engine answered status %d", e.Status) }
