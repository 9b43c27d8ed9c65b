package peer

import "github.com/mustardseam/mustardseam/mustardseam/pool"

// DoneRequest reports outcomes to a home and withdraws asks that are no longer wanted.
type DoneRequest struct {
	Proto    Proto          `json:"proto"`
	Pool     string         `json:"pool"`
	From     string         `json:"from"`
	Address  string         `json:"address"` // Of the sender, which keeps the answers.
	Outcomes []pool.Outcome `json:"outcomes,omitempty"`
	Withdraw []string       `json:"withdraw,omitempty"`
}
