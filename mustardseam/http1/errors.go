package http1

import "errors"

// Errors that callers of this package branch on.
var (
	// ErrGone says that the caller has closed its connection.
	ErrGone = errors.New("caller has gone")
	// ErrNotSent says that no byte of the request can have reached the backend server.
	ErrNotSent = errors.New("request was not sent")
	// ErrBroken says that the connection ended before the answer was complete.
	ErrBroken = errors.New("answer is not complete")
	// ErrForeign says that the bytes on the connection are not the answer to the request.
	ErrForeign = errors.New("answer belongs to another request")
)
