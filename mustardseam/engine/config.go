package engine

import "time"

// Config bounds the calls to engines.
type Config struct {
	Idle time.Duration // Longest silence inside a stream before it counts as broken.
	Poll time.Duration // Timeout of load reports, cache events, cancels and orders.

	LineBytes int // Longest line of a stream; 1 MiB when zero.
}
