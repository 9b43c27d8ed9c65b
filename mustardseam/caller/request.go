package caller

import (
	"time"

	"github.com/mustardseam/mustardseam/operator"
)

// Request is one authenticated request of a caller.
type Request struct {
	Team            operator.Team
	Tier            operator.Tier
	Route           operator.Route
	Kind            operator.PoolKind
	Group           string // Name of the group, the second level of fairness; the user member of the OpenAI API.
	Method          string
	Path            string // Path with the query; for services, the part below the route.
	Header          map[string]string
	Body            []byte
	Stream          bool   // Whether the caller wants server-sent events.
	Chat            bool   // Whether this is a chat completion rather than a text completion.
	IdempotencyKey  string // Idempotency key; empty if the caller sent none.
	NonIdempotent   bool   // Whether the request may run at most once.
	Deadline        time.Time
	Disconnected    <-chan struct{} // Closed when the caller closes its connection; nil if that cannot be detected.
	PromptTokens    int             // Estimated number of prompt tokens; 1 for services.
	MaxOutputTokens int             // Maximum number of output tokens; 0 if the caller set no limit.
	Prefix          []uint64        // Chained hashes of the leading blocks of the prompt; empty for services.
}
