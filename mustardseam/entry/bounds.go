package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/canary"
	"github.com/mustardseam/mustardseam/mustardseam/ratelimit"
)

// Bounds holds the limits that the settings of the deployment define.
type Bounds struct {
	GracePeriod time.Duration // Time from the stop signal to the end of the process.
	Quota       ratelimit.QuotaConfig
	Budget      ratelimit.BudgetConfig
	ColdStart   ratelimit.ColdLimiterConfig
	Canary      canary.Config
}

// Equal reports whether two sets of bounds are the same.
func (b Bounds) Equal(o Bounds) bool {
	return b.GracePeriod == o.GracePeriod && b.Budget == o.Budget && b.ColdStart == o.ColdStart &&
		b.Canary == o.Canary && b.Quota.Window == o.Quota.Window &&
		b.Quota.Excess == o.Quota.Excess && b.Quota.Slack == o.Quota.Slack
}
