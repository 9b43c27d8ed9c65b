package platform

import "time"

// Faults are failures that can be injected while the platform runs.
type Faults struct {
	Down  bool          // Every call fails with status 503.
	Delay time.Duration // Delay before each response.
	Stuck bool          // The published list no longer changes.
}
