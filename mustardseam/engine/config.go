package engine

import "time"

// Config configures a Client.
type Config struct {
	Idle time.Duration // Maximum silence within a stream before it counts as broken.
	Poll time.Duration // Timeout of load reports, cache events, cancels and orders.

	LineBytes int // Maximum length of a line of a stream in bytes; 1 MiB if zero.
}
