package caller

import "time"

// Config bounds what callers may send.
type Config struct {
	Scheduler   Scheduler
	BodyBytes   int
	HeaderBytes int
	Connections int
	Idle        time.Duration // Of a connection between requests.
	Read        time.Duration // In which a request must arrive, so that slow senders hold no connections; 30 s when zero.
	Request     time.Duration // Total time of a request; the default and the longest deadline.
	Now         func() time.Time
}
