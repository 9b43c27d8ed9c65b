package pool

import "time"

// Reason says why a request was refused; every one of them means that it did not run.
type Reason string

// The reasons of a refusal.
const (
	QueueFull    Reason = "queue-full"
	TooLate      Reason = "deadline-unreachable"
	NoServer     Reason = "no-backend-server"
	UnknownRoute Reason = "unknown-route"
	NoRetries    Reason = "retry-budget-exhausted"
)

// Refusal is the final answer to an ask that was not granted.
type Refusal struct {
	Ask        string        `json:"ask"`
	Reason     Reason        `json:"reason"`
	RetryAfter time.Duration `json:"retry-after"` // Nanoseconds; 0 when unknown.
}
