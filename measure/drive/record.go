package drive

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/measure/load"
)

// State says how a request ended for its caller.
type State string

// The states of a request.
const (
	Open     State = ""
	Answered State = "answered"
	Refused  State = "refused" // Not run.
	Late     State = "late"    // The deadline passed; it was cancelled.
	Failed   State = "failed"
	Broken   State = "broken" // The entry instance died; the caller's connection broke.
)

// Record is the history of one request.
type Record struct {
	load.Request
	State   State
	Repeats bool          // The caller has called again, so that the later record tells how the request ended.
	Reason  string        // Of a refusal.
	Arrived time.Time     // At the caller.
	First   time.Duration // From the call to the first token at the caller.
	Ended   time.Time     // At the caller.
	Asks    int
	Runs    int    // Admissions by backend servers.
	Answers int    // Final answers that reached the caller.
	Tokens  int    // Tokens of the answer.
	Version string // That served it last.
	Server  string
	Granted time.Time // When the last permit was given.
	Load    int       // Requests at the server at that time.

	deadline time.Time
	entry    *entry
	tried    int    // Earlier calls of the caller for the same request.
	ask      string // The current ask.
	waits    bool   // The current ask has no decision yet.
	avoid    []string
	stream   *engine.Stream // At the backend server; nil when there is none.
	atHome   time.Time      // When its first ask reached the home.
	passed   bool           // A lower tier was admitted on capacity that this request could have used.
	warm     bool           // The home's last information on the server was that it is warm.
}

// Deadline returns the time by which the whole answer must reach the caller.
func (r *Record) Deadline() time.Time { return r.deadline }

// InTime reports whether the whole answer reached the caller before the deadline.
func (r *Record) InTime() bool { return r.State == Answered && !r.Ended.After(r.deadline) }

// Shed reports whether the system gave the request up without running it.
func (r *Record) Shed() bool { return r.Runs == 0 && (r.State == Refused || r.State == Late) }
