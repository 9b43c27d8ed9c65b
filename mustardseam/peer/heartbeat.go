package peer

import (
	"github.com/mustardseam/mustardseam/mustardseam/member"
)

// Heartbeat carries membership, the configuration in force, rollback marks and the homes known to the sender.
type Heartbeat struct {
	Proto    Proto              `json:"proto"`
	From     member.Member      `json:"from"`
	Members  []member.Member    `json:"members,omitempty"` // Entries of other instances.
	Revision uint64             `json:"revision"`          // Revision of the configuration in force at the sender.
	Digest   string             `json:"digest"`            // Digest of that configuration.
	Marks    []string           `json:"marks,omitempty"`   // Rollback marks known to the sender.
	Homes    map[string]HomeRef `json:"homes,omitempty"`   // Known homes, by pool.
}
