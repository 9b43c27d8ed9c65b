package outage

import "time"

// Final says what a caller learned in the end.
type Final string

// The final answers to a caller.
const (
	Open       Final = ""
	Answered   Final = "answered"
	NotRun     Final = "not-run"
	Unknown    Final = "outcome-unknown"
	InProgress Final = "in-progress"
)

// Request is what a caller wants; it may take several calls with the same key.
type Request struct {
	ID    string
	Key   string // Empty for an idempotent request without a key.
	At    time.Duration
	Calls int
	Runs  int // Executions by the service.
	Final Final
	Ended time.Duration
}

// call is one call of a caller at an entry instance; its id is that of the ask.
type call struct {
	*Request
	id      string
	entry   *instance
	ran     int
	started bool // The service may have got it.
	closed  bool // The entry instance has given its answer.
}
