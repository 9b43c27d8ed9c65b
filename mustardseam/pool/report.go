package pool

import "time"

// Report is a load report of a backend server, which lags behind the truth.
type Report struct {
	Server   string        `json:"server"`
	Sequence uint64        `json:"sequence"` // Rises with each report; a restart of the backend server resets it.
	Age      time.Duration `json:"age"`      // Nanoseconds between the reading and its publication.
	Running  int           `json:"running"`
	Waiting  int           `json:"waiting"`
	Cold     bool          `json:"cold"`
	Version  string        `json:"version"`
}
