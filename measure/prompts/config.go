package prompts

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/engine"
)

// Config describes engines and their load.
type Config struct {
	Engines       int
	Engine        engine.Config // Of each engine; its name and memory are set by the run.
	Memory        int           // Tokens that the memory of an engine holds for prompt parts and running requests.
	Rate          float64       // Mean arrival rate in requests per second.
	Templates     int           // Number of first parts.
	TemplateShare float64       // Part of the requests whose first part is the same one; the others are spread evenly.
	Template      int           // Tokens of a first part.
	Documents     int           // Number of second parts, drawn evenly; 0 for none.
	Document      int           // Tokens of a second part.
	Sessions      float64       // Part of the requests that continue the latest one of a session with its whole prompt.
	Own           int           // Tokens of the last part.
	Output        int           // Mean output tokens.
	End           time.Duration // End of the arrivals.
	Seed          uint64
	IgnorePrompts bool // Place without regard to what engines keep.
}
