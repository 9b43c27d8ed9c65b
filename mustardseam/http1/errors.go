package http1

import (
	"errors"
	"fmt"
)

// Errors that users of this package distinguish with errors.Is.
var (
	// ErrCallerGone means that the caller has closed its connection.
	ErrCallerGone = errors.New("caller has gone")
	// ErrNotSent means that no byte of the request can have reached the backend server.
	ErrNotSent = errors.New("request was not sent")
	// ErrIncompleteResponse means that no complete response was received, also because only a part of the request could be
	// sent. The request may have run.
	ErrIncompleteResponse = errors.New("incomplete response")
	// ErrDisconnected is an ErrIncompleteResponse because the backend server ended the connection, as one that crashes does.
	ErrDisconnected = fmt.Errorf("connection ended: %w", ErrIncompleteResponse)
	// ErrUnexpectedResponse means that the bytes received on the connection are not the response to the request.
	ErrUnexpectedResponse = errors.New("response belongs to another request")
)
