package rollout

import (
	"time"

	"github.com/mustardseam/mustardseam/operator"
)

// Plan is the schedule of shares of a rollout; it is an immutable value.
type Plan struct {
	start, deadline time.Time
	shares          []float64
}

// NewPlan returns the schedule of a rollout: its canary share, then 5 %, 25 %, 50 % and 100 % as far as they are larger.
func NewPlan(r operator.Rollout) Plan { return Plan{} }

// Steps returns the number of steps; the last one has the share 1.
func (p Plan) Steps() int { return len(p.shares) }

// Share returns the new version's share of requests, 0 to 1, at a step; it is 0 before the start.
func (p Plan) Share(now time.Time, step int) float64 { return 0 }

// Due reports whether the schedule allows to advance from the step.
func (p Plan) Due(now time.Time, step int) bool { return false }

// DueAt returns the time from which the schedule allows to advance from the step.
func (p Plan) DueAt(step int) time.Time { return time.Time{} }
