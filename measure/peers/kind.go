package peers

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/load"
)

// Kind is a kind of request and what its callers expect.
type Kind struct {
	Name      string
	Rate      float64 // Requests a second at the usual load.
	Tier      int
	Worth     float64 // Of an answer that meets the objective.
	Late      float64 // Of one that is complete by the deadline only.
	Objective time.Duration
	Gap       time.Duration // Between two events.
	Deadline  time.Duration
	Sends     int // Backend servers that may get the request.
	Prompt    load.Lengths
	Output    load.Lengths
}
