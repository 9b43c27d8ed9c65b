package pool

import "time"

// Ask is the placement request of an entry instance: to run one caller request on a backend server of the pool.
type Ask struct {
	ID              string    `json:"id"`
	EntryInstance   string    `json:"from"` // Incarnation ID of the entry instance.
	DataCentre      string    `json:"data-centre"`
	Team            string    `json:"team"`
	Group           string    `json:"group,omitempty"` // Second level of fair queueing, within the team.
	Tier            int       `json:"tier"`            // Number of the tier; 0 is the highest.
	Route           string    `json:"route"`
	PromptTokens    int       `json:"prompt"`           // Prompt length in tokens.
	MaxOutputTokens int       `json:"max-output"`       // Upper limit of output tokens; 0 if the caller sets none.
	Prefix          []uint64  `json:"prefix,omitempty"` // Chained hashes of the prompt's blocks.
	Deadline        time.Time `json:"-"`                // In the clock of the home instance.
	Key             string    `json:"key,omitempty"`    // Idempotency key, scoped by team and route.
	NonIdempotent   bool      `json:"non-idempotent,omitempty"`
	Attempt         int       `json:"attempt"`         // 0 for the first attempt, 1 for the first retry.
	Avoid           []string  `json:"avoid,omitempty"` // Backend servers that refused this request.
}
