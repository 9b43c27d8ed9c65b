package peers

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/load"
)

// Kind is a class of requests with its load, its worth and its time limits.
type Kind struct {
	Name      string
	Rate      float64 // Mean arrival rate at the usual load, in requests per second.
	Tier      int
	Worth     float64       // Worth of an answer that meets the objective.
	Late      float64       // Worth of an answer that meets only the deadline.
	Objective time.Duration // Longest time to the first event for an answer in time.
	Gap       time.Duration // Longest time between two events for an answer in time.
	Deadline  time.Duration
	Sends     int // Maximum number of backend servers to which the request is sent.
	Prompt    load.Lengths
	Output    load.Lengths
}
