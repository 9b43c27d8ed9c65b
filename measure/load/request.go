package load

import "time"

// Request is one call by a caller.
type Request struct {
	ID            string
	At            time.Duration // Time of arrival as an offset from the start of the run.
	Team          string
	Tier          int // Rank of the tier; 0 is the highest.
	Route         string
	Prompt        int           // Length of the prompt in tokens.
	Output        int           // Number of tokens that the engine will generate.
	MaxOutput     int           // Maximum number of output tokens that the caller states.
	Blocks        []uint64      // Hashes of the complete prompt blocks, in order.
	Timeout       time.Duration // Time from the call to its deadline.
	Key           string        // Idempotency key; empty if there is none.
	NonIdempotent bool
	Entry         int // Index of the entry instance that the load balancer picks.
}
