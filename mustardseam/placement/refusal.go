package placement

import "time"

// Refusal says why a request was refused without being run, and when to retry it.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration // Delay after which the caller should retry.
}

// Error implements the error interface and returns the reason.
func (r *Refusal) Error() string { return r.Reason }
