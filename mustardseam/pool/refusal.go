package pool

import "time"

// Reason is the reason why a request was refused. A refused request did not run.
type Reason string

// Reasons for a refusal.
const (
	QueueFull            Reason = "queue-full"
	DeadlineUnmeetable   Reason = "deadline-unreachable"
	NoBackendServer      Reason = "no-backend-server"
	UnknownRoute         Reason = "unknown-route"
	RetryBudgetExhausted Reason = "retry-budget-exhausted"
)

// Refusal is the final answer to an ask that was not granted.
type Refusal struct {
	AskID      string        `json:"ask"`
	Reason     Reason        `json:"reason"`
	RetryAfter time.Duration `json:"retry-after"` // Suggested delay of a retry in nanoseconds; 0 if unknown.
}
