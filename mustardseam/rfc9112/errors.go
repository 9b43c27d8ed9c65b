package rfc9112

import "errors"

// ErrMalformed means that bytes are no response, or can be read in more than one way.
var ErrMalformed = errors.New("malformed response")
