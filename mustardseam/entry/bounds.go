package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/share"
)

// Bounds are the deployment's bounds.
type Bounds struct {
	Grace        time.Duration // From the signal to stop to the end of the process.
	Quota        share.QuotaConfig
	Budget       share.BudgetConfig
	Cold         share.ColdConfig
	ExposedShare float64 // Of requests that a version may get before it is known to be good.
}

// Equal reports whether two sets of bounds are the same.
func (b Bounds) Equal(o Bounds) bool {
	return b.Grace == o.Grace && b.Budget == o.Budget && b.Cold == o.Cold && b.ExposedShare == o.ExposedShare &&
		b.Quota.Window == o.Quota.Window && b.Quota.Excess == o.Quota.Excess && b.Quota.Slack == o.Quota.Slack
}
