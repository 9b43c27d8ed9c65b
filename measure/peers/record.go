package peers

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/load"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// State is the outcome of a request for its caller.
type State string

// Outcomes of a request; Open means that it has not ended.
const (
	Open     State = ""
	Answered State = "answered"
	Refused  State = "refused" // Not run.
	Failed   State = "failed"  // Its engine or instance failed, or its deadline passed.
)

// Record is the history of one request.
type Record struct {
	load.Request
	Kind    *Kind
	State   State
	First   time.Duration // Time from the first call to the first event.
	Pause   time.Duration // Longest time between two events.
	Ended   time.Duration // Time from the first call to the end of the answer.
	Refused int           // Number of refusals.
	Sends   int           // Number of times the request was sent to a backend server.
	Wasted  int           // Number of tokens computed for attempts that did not complete.

	arrived   time.Time
	lastEvent time.Time // Time of the latest event.
	job       *placement.Job
	calls     int
	run       *run
}

// InTime reports whether the answer met the objective.
func (r *Record) InTime() bool {
	return r.State == Answered && r.First <= r.Kind.Objective && r.Pause <= r.Kind.Gap && r.Ended <= r.Kind.Deadline
}

// Worth returns what the answer was worth to its caller.
func (r *Record) Worth() float64 {
	switch {
	case r.InTime():
		return r.Kind.Worth
	case r.State == Answered && r.Ended <= r.Kind.Deadline:
		return r.Kind.Late
	default:
		return 0
	}
}
