package peer

import "github.com/mustardseam/mustardseam/mustardseam/pool"

// AskRequest asks a home for a permit, or polls for the decision on an earlier ask with the same id.
type AskRequest struct {
	Proto  Proto    `json:"proto"`
	Region string   `json:"region"`
	Pool   string   `json:"pool"`
	Ask    pool.Ask `json:"ask"`
	LeftMS int64    `json:"left-ms"`         // Milliseconds until the caller's deadline.
	HoldMS int64    `json:"hold-ms"`         // Milliseconds for which the home may hold the poll.
	Marks  []string `json:"marks,omitempty"` // Rollback marks known to the sender.

	// Previous is the outcome of the attempt that this one replaces. The home processes it first, because it frees
	// the idempotency key that the ask claims again.
	Previous *pool.Outcome `json:"previous,omitempty"`
}
