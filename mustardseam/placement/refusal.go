package placement

import "time"

// Refusal says why a request was refused without being run, and when to retry it.
type Refusal struct {
	Cause      Cause
	Reason     string
	RetryAfter time.Duration // Delay after which the caller should retry.
	Returned   bool          // The caller had been refused before.
}

// Error implements the error interface and returns the reason.
func (r *Refusal) Error() string { return r.Reason }
