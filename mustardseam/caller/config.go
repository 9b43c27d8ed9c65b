package caller

import "time"

// Config configures a Server.
type Config struct {
	Scheduler      Scheduler        // Schedules and runs the requests.
	MaxBodyBytes   int              // Maximum size of a request body in bytes.
	MaxHeaderBytes int              // Maximum size of a request header in bytes.
	MaxConns       int              // Maximum number of open connections.
	IdleTimeout    time.Duration    // Maximum idle time of a connection between requests.
	ReadTimeout    time.Duration    // Maximum time for a request to arrive, so that slow senders cannot hold connections; 30 s if zero.
	RequestTimeout time.Duration    // Total time of a request; the default and the maximum timeout.
	Now            func() time.Time // Returns the current time.
}
