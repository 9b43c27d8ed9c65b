package etcd

import "time"

// Faults are switched on while the store runs.
type Faults struct {
	Down       bool          // Refuses every call and ends watches.
	Delay      time.Duration // Added before each answer.
	LoseAnswer int           // Answers of the next n writes are lost after the write took effect.
}
