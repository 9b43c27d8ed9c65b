package peers

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/load"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// State says how a request ended for its caller.
type State string

// The states of a request.
const (
	Open     State = ""
	Answered State = "answered"
	Refused  State = "refused" // Not run.
	Failed   State = "failed"  // Its engine or its instance was lost, or its deadline passed.
)

// Record is the history of one request.
type Record struct {
	load.Request
	Kind    *Kind
	State   State
	First   time.Duration // From the call to the first event.
	Pause   time.Duration // The longest one between two events.
	Ended   time.Duration // From the call to the last event.
	Refused int           // Refusals.
	Sends   int
	Wasted  int // Tokens that were computed for answers that did not become complete.

	arrived time.Time
	came    time.Time // Of the latest event.
	job     *placement.Job
	calls   int
	run     *run
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
