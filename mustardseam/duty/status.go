package duty

import "time"

// Status is the state of an election as shown to operators.
type Status struct {
	Holder string        // Holder by this instance's copy of the store; empty if there is none.
	Held   bool          // This instance holds the record.
	Token  int64         // Token of this instance; 0 if it does not hold the record.
	Since  time.Duration // When this instance acquired the record, on the boot clock.
	Until  time.Duration // End of the right to act, on the boot clock.
	Reason string        // Why this instance last acquired or gave up the record.
}
