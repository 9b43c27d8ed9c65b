package pool

import "time"

// Report is a load report of a backend server. It describes a past state of the server.
type Report struct {
	Server   string        `json:"server"`
	Sequence uint64        `json:"sequence"` // Increases with each report and restarts when the backend server does.
	Age      time.Duration `json:"age"`      // Time between the measurement and its publication, in nanoseconds.
	Running  int           `json:"running"`  // Requests being executed.
	Waiting  int           `json:"waiting"`  // Requests queued inside the server.
	Cold     bool          `json:"cold"`
	Version  string        `json:"version"`
}
