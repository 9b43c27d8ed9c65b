package load

import "time"

// Request is one call of a caller.
type Request struct {
	ID            string
	At            time.Duration // Offset from the start of the run.
	Team          string
	Tier          int
	Route         string
	Prompt        int // Tokens.
	Output        int // Tokens that the engine will generate.
	MaxOutput     int // Tokens, as the caller states it.
	Blocks        []uint64
	Timeout       time.Duration
	Key           string
	NonIdempotent bool
	Entry         int // Number of the entry instance that the load balancer picks.
}
