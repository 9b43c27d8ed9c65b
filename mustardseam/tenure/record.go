package tenure

import "time"

// Candidate is an instance that may become home.
type Candidate struct {
	// ID is the incarnation.
	ID      string `json:"id"`
	Address string `json:"address"`
}

// Record is the value of the store key homes/<region>/<pool>. It is changed only by compare-and-swap.
type Record struct {
	Epoch      uint64      `json:"epoch"` // Incremented by each change.
	Home       string      `json:"home"`  // Incarnation of the home.
	Address    string      `json:"address"`
	Candidates []Candidate `json:"candidates"`
	Released   bool        `json:"released,omitempty"` // The home has stopped, and none of its permits can be started any more.
	Since      time.Time   `json:"since"`              // Time of the change by the writer's wall clock; informational only.
}

// HomeRef identifies the home of a pool and the epoch that its permits carry.
type HomeRef struct {
	Epoch   uint64
	Home    string // Incarnation of the home.
	Address string
}

func (r Record) has(id string) bool {
	for _, c := range r.Candidates {
		if c.ID == id {
			return true
		}
	}
	return false
}
