package caller

import "time"

// Config bounds what callers may send.
type Config struct {
	Scheduler   Scheduler
	BodyBytes   int
	HeaderBytes int
	Connections int
	Idle        time.Duration // Of a connection between requests.
	Request     time.Duration // Total time of a request; the default and the longest deadline.
	Now         func() time.Time
}
