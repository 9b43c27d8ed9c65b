package etcd

import "time"

// Faults are switched on while the store runs; the numbers count down with the calls that they concern.
type Faults struct {
	Down        bool          // Refuses every call before it takes effect and ends watches.
	Delay       time.Duration // Added before each call takes effect.
	DelayAnswer time.Duration // Added after each call has taken effect.
	LoseAnswer  int           // Answers of the next n writes are lost after the write took effect.
	LoseWrite   int           // The next n writes are lost with their connections before they take effect.
	Rate        int           // Calls a second beyond which calls are refused; 0 for no bound.
}
