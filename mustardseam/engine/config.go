package engine

import "time"

// Config configures a Client.
type Config struct {
	IdleTimeout time.Duration // Maximum silence within a stream before it counts as broken.
	PollTimeout time.Duration // Timeout of load reports, cache events, cancels and orders.

	MaxLineBytes int // Maximum length of a line of a stream in bytes; 1 MiB if zero.
}
