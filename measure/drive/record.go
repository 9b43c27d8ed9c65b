package drive

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/measure/load"
)

// State is the final state of a request as its caller sees it.
type State string

// States of a request; Open means that it has not ended yet.
const (
	Open           State = ""
	Answered       State = "answered"
	Refused        State = "refused" // Refused before it ran.
	Expired        State = "late"    // Cancelled because its deadline passed.
	Failed         State = "failed"
	ConnectionLost State = "broken" // The caller's connection broke because the entry instance failed.
)

// Record is the history of one request.
type Record struct {
	load.Request
	State        State
	Retried      bool          // The caller has repeated the call; the record of the repetition holds the final outcome.
	Reason       string        // Reason for a refusal, or for the end of an expired or broken call.
	ArrivedAt    time.Time     // Time at which the caller sent the request.
	FirstToken   time.Duration // Time from the call until the caller receives the first token.
	EndedAt      time.Time     // At the caller.
	Asks         int           // Number of asks sent for the request; an ask repeated after a takeover counts once.
	Admissions   int           // Number of times that a backend server admitted the request.
	FinalAnswers int           // Number of final answers that the caller received.
	AnswerTokens int           // Number of tokens in the answer.
	Version      string        // Version of the server in the last permit.
	Server       string        // Name of the server in the last permit.
	GrantedAt    time.Time     // Time at which the home granted the last permit.
	ServerLoad   int           // Number of requests at the server when the last permit was granted.

	deadline       time.Time // Time by which the whole answer must reach the caller.
	entry          *entry
	previousCalls  int            // Number of earlier calls by the caller for the same request.
	currentAsk     string         // ID of the current ask.
	awaitsDecision bool           // The home has not decided on the current ask yet.
	avoidServers   []string       // Names of the servers that refused the request before it ran.
	stream         *engine.Stream // Stream at the backend server; nil if none is running.
	reachedHomeAt  time.Time      // Time at which the first ask reached the home.
	passedOver     bool           // A request of a lower tier was admitted on capacity that this request could have used.
	believedWarm   bool           // When the permit was granted, the home's latest information was that the server is warm.
}

// Deadline returns the time by which the whole answer must reach the caller.
func (r *Record) Deadline() time.Time { return r.deadline }

// InTime reports whether the whole answer reached the caller by the deadline.
func (r *Record) InTime() bool { return r.State == Answered && !r.EndedAt.After(r.deadline) }

// Shed reports whether the request ended by refusal or at its deadline without ever running.
func (r *Record) Shed() bool { return r.Admissions == 0 && (r.State == Refused || r.State == Expired) }
