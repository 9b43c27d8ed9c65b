package outage

import "time"

// Final is the outcome of a request as its caller learned it.
type Final string

// Outcomes of a request; Open means that the caller has no final answer.
const (
	Open       Final = ""
	Answered   Final = "answered"
	NotRun     Final = "not-run"
	Unknown    Final = "outcome-unknown"
	InProgress Final = "in-progress"
)

// Request is a caller's request; it may take several calls with the same key.
type Request struct {
	ID    string
	Key   string // Empty for an idempotent request without a key.
	At    time.Duration
	Calls int
	Runs  int // Number of executions by the service.
	Final Final
	Ended time.Duration
}

// call is one attempt of a request at an entry instance; its id is also the ID of the ask.
type call struct {
	*Request
	id         string
	entry      *instance
	executions int
	started    bool // Whether the service may have received the call.
	closed     bool // Whether the entry instance has answered.
}
