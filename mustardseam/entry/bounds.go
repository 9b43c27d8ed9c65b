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
