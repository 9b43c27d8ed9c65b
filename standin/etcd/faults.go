package etcd

import "time"

// Faults are failures that can be injected while the store runs; each affected write decrements LoseAnswer or
// LoseWrite.
type Faults struct {
	Down        bool          // Every call is refused before it takes effect, and watches end.
	Delay       time.Duration // Delay before each call takes effect.
	DelayAnswer time.Duration // Delay after each call has taken effect.
	LoseAnswer  int           // The responses of the next n writes are lost after the write took effect.
	LoseWrite   int           // The next n writes are lost with their connections before they take effect.
	Rate        int           // Maximum number of calls per second; further calls are refused. 0 for no limit.
}
