package http1

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// Call describes one request to a backend server.
type Call struct {
	Server *fleet.Server
	Header RequestHeader
	Body   []byte
	// Deadline is the time by which connecting and all reads and writes must end; Response.SetReadDeadline replaces it for
	// reads of the body.
	Deadline time.Time
	// AtMostOnce is true if the request may run at most once.
	AtMostOnce bool
	// Exclusive is true if the call needs a new connection that carries no other request, because its response cannot be
	// told apart from a late response to an earlier request.
	Exclusive bool
	// Matches reports whether a response with the given header belongs to this request.
	Matches func(h *fasthttp.ResponseHeader) bool
}
