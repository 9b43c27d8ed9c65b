package caller

import "github.com/mustardseam/mustardseam/mustardseam/revision"

// Scheduler decides on requests and runs them.
type Scheduler interface {
	// Config returns the configuration in force, nil when the instance is not ready.
	Config() *revision.Config
	// Open runs a request until its answer begins or it is refused.
	Open(Request) (Exchange, *Problem)
}

// Exchange is the answer to one request; it must be closed.
type Exchange interface {
	// Head returns status and headers.
	Head() (status int, header map[string]string)
	// Whole reads the answer to its end; the problem says why it is incomplete.
	Whole() ([]byte, *Problem)
	// Next returns the data of the next server-sent event and io.EOF after the last one.
	Next() ([]byte, error)
	// Close ends the exchange; before the end of the answer it cancels the request.
	Close()
}
