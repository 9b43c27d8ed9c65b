package http1

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// Call is a request to a backend server.
type Call struct {
	Server   *fleet.Server
	Head     RequestHead
	Body     []byte
	Deadline time.Time
	Once     bool                                  // The request may run only once.
	Alone    bool                                  // The answer cannot be told from a late one to an earlier request, so the connection is new and carries nothing else.
	Own      func(h *fasthttp.ResponseHeader) bool // Reports whether an answer is the one to this request.
}
