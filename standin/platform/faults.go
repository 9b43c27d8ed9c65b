package platform

import "time"

// Faults are switched on while the platform runs.
type Faults struct {
	Down  bool          // Refuses every call.
	Delay time.Duration // Added before each answer.
	Stuck bool          // The list no longer changes.
}
