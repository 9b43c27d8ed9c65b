package peer

import "github.com/mustardseam/mustardseam/mustardseam/pool"

// OutcomesRequest reports outcomes to a home and withdraws asks that are no longer needed.
type OutcomesRequest struct {
	Proto    Proto          `json:"proto"`
	Pool     string         `json:"pool"`
	From     string         `json:"from"`    // Incarnation of the sender.
	Address  string         `json:"address"` // Address of the sender, which keeps the answers.
	Outcomes []pool.Outcome `json:"outcomes,omitempty"`
	Withdraw []string       `json:"withdraw,omitempty"` // Ids of the withdrawn asks.
}
