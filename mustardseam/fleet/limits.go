package fleet

import "time"

// Limits bound the size of requests and the time that callers may take to send them; a zero field selects the default of
// package http1.
type Limits struct {
	HeaderBytes   int           // Maximum size of a request header.
	BodyBytes     int           // Maximum size of a request body.
	HeaderTimeout time.Duration // Maximum time to receive a request header.
	IdleTimeout   time.Duration // Maximum time that a connection may be idle.
}
