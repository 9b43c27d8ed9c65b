package pool

import "time"

// Ask is the wish of an entry instance to hand one request to a backend server of the pool.
type Ask struct {
	ID            string    `json:"id"`
	From          string    `json:"from"` // Incarnation of the entry instance.
	DataCentre    string    `json:"data-centre"`
	Team          string    `json:"team"`
	Group         string    `json:"group,omitempty"` // Second level of fairness inside the team.
	Tier          int       `json:"tier"`            // Rank; 0 is the highest tier.
	Route         string    `json:"route"`
	Prompt        int       `json:"prompt"`           // Tokens.
	MaxOutput     int       `json:"max-output"`       // Tokens; 0 when the caller sets no limit.
	Prefix        []uint64  `json:"prefix,omitempty"` // Chained hashes of the prompt's blocks.
	Deadline      time.Time `json:"-"`                // By the clock of the home.
	Key           string    `json:"key,omitempty"`    // Idempotency key, scoped by team and route.
	NonIdempotent bool      `json:"non-idempotent,omitempty"`
	Attempt       int       `json:"attempt"`         // 0 for the first.
	Avoid         []string  `json:"avoid,omitempty"` // Backend servers that refused this request.
}
