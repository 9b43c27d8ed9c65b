package rollout

import (
	"time"

	"github.com/mustardseam/mustardseam/operator"
)

// scheduledShares are the shares after the canary share, with the fractions of the time from start to deadline at which
// they begin. The canary step gets the most time, because its small share takes longest to provide the evidence that the
// test needs. The last step begins at 85 %, which leaves time for its own evidence and for late advances.
var scheduledShares = []struct{ share, begin float64 }{
	{0.05, 0.4},
	{0.25, 0.6},
	{0.50, 0.72},
	{1, 0.85},
}

// Plan is the schedule of traffic shares of a rollout; it is an immutable value.
type Plan struct {
	start  time.Time
	shares []float64
	begins []time.Time // Start time of each step, followed by the deadline.
}

// NewPlan returns the schedule of a rollout: its canary share, then those of 5 %, 25 %, 50 % and 100 % that are larger.
func NewPlan(r operator.Rollout) Plan {
	p := Plan{start: r.Start, shares: []float64{r.CanaryShare}, begins: []time.Time{r.Start}}
	window := float64(r.Deadline.Sub(r.Start))
	for _, s := range scheduledShares {
		if s.share > r.CanaryShare {
			p.shares = append(p.shares, s.share)
			p.begins = append(p.begins, r.Start.Add(time.Duration(s.begin*window)))
		}
	}
	p.begins = append(p.begins, r.Deadline)
	return p
}

// Steps returns the number of steps; the last one has the share 1.
func (p Plan) Steps() int { return len(p.shares) }

// Share returns the new version's share of requests at a step, 0 to 1; it is 0 before the start of the rollout.
func (p Plan) Share(now time.Time, step int) float64 {
	if now.Before(p.start) || step < 0 || step >= len(p.shares) {
		return 0
	}
	return p.shares[step]
}

// Due reports whether the schedule permits an advance from the step. The last step is due from its own start: it has no
// following share, so only its evidence decides when it ends.
func (p Plan) Due(now time.Time, step int) bool {
	if step == len(p.shares)-1 {
		return !now.Before(p.begins[step])
	}
	return !now.Before(p.DueAt(step))
}

// DueAt returns the time at which the step after the given one begins; for the last step, the deadline.
func (p Plan) DueAt(step int) time.Time { return p.begins[min(max(step, 0)+1, len(p.begins)-1)] }
