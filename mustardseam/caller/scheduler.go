package caller

import "github.com/mustardseam/mustardseam/mustardseam/revision"

// Scheduler schedules and runs requests.
type Scheduler interface {
	// Config returns the configuration in force, or nil if the instance is not ready.
	Config() *revision.Config
	// Handle runs a request and returns when its answer begins or the request is refused.
	Handle(Request) (Exchange, *Problem)
}

// Exchange is the answer to one request. It must be closed.
type Exchange interface {
	// Head returns the status and the headers of the answer.
	Head() (status int, header map[string]string)
	// ReadAll reads the answer to its end; a problem says why the answer is incomplete.
	ReadAll() ([]byte, *Problem)
	// Next returns the data of the next server-sent event, or io.EOF after the last one.
	Next() ([]byte, error)
	// Close releases the exchange. Before the end of the answer it cancels the request.
	Close()
}
