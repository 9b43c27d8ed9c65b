package load

import "time"

// Request is one call by a caller.
type Request struct {
	ID            string
	At            time.Duration // Time of arrival as an offset from the start of the run.
	Team          string
	Tier          int
	Route         string
	Prompt        int // Length of the prompt in tokens.
	Output        int // Number of tokens that the engine will generate.
	MaxOutput     int // Maximum number of output tokens that the caller states.
	Blocks        []uint64
	Timeout       time.Duration
	Key           string
	NonIdempotent bool
	Entry         int // Index of the entry instance that the load balancer picks.
}
