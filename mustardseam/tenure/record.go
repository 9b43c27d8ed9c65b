package tenure

import "time"

// Candidate is an instance that may become home: its incarnation and its address.
type Candidate struct {
	ID      string `json:"id"` // Incarnation.
	Address string `json:"address"`
}

// Record is the value of the store key homes/<region>/<pool>; only compare-and-swap changes it.
type Record struct {
	Epoch      uint64      `json:"epoch"` // Rises by one with each change.
	Home       string      `json:"home"`  // Incarnation.
	Address    string      `json:"address"`
	Candidates []Candidate `json:"candidates"`
	Released   bool        `json:"released,omitempty"` // The home stopped, and none of its permits can still be started.
	Since      time.Time   `json:"since"`              // By the wall clock of the writer; for people only.
}

// HomeRef names a pool's home and the epoch that its permits carry.
type HomeRef struct {
	Epoch   uint64
	Home    string // Incarnation.
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
