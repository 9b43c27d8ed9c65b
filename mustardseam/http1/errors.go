package http1

import "errors"

// Errors that users of this package distinguish with errors.Is.
var (
	// ErrGone means that the caller has closed its connection.
	ErrGone = errors.New("caller has gone")
	// ErrNotSent means that no byte of the request can have reached the backend server.
	ErrNotSent = errors.New("request was not sent")
	// ErrBroken means that no complete response was received.
	ErrBroken = errors.New("incomplete response")
	// ErrUnexpectedResponse means that the bytes received on the connection are not the response to the request.
	ErrUnexpectedResponse = errors.New("response belongs to another request")
)
