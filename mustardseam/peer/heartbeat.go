package peer

import (
	"github.com/mustardseam/mustardseam/mustardseam/member"
)

// Heartbeat spreads membership, configuration, rollback marks and home epochs.
type Heartbeat struct {
	Proto    Proto              `json:"proto"`
	From     member.Member      `json:"from"`
	Members  []member.Member    `json:"members,omitempty"`
	Revision uint64             `json:"revision"`
	Digest   string             `json:"digest"`
	Marks    []string           `json:"marks,omitempty"`
	Homes    map[string]HomeRef `json:"homes,omitempty"` // By pool.
}
