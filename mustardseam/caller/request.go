package caller

import (
	"time"

	"github.com/mustardseam/mustardseam/operator"
)

// Request is one authenticated request of a caller.
type Request struct {
	Team          operator.Team
	Tier          operator.Tier
	Route         operator.Route
	Kind          operator.PoolKind
	Group         string // Second level of fairness; the user member of the OpenAI API.
	Method        string
	Path          string // With the query; below the route for services.
	Header        map[string]string
	Body          []byte
	Stream        bool // The caller wants server-sent events.
	Chat          bool // Chat completion rather than text completion.
	Key           string
	NonIdempotent bool
	Deadline      time.Time
	Gone          <-chan struct{} // Closed when the caller ends its connection; nil when that cannot be seen.
	Prompt        int             // Estimated tokens.
	MaxOutput     int             // Tokens; 0 when the caller sets no limit.
	Prefix        []uint64
}
