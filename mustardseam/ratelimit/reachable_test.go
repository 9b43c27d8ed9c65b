package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// TestQuotaOfDividedInstances guards against two groups of instances that are cut off from each other and each use the whole
// quota of a team: together they may not run more in a window than the quota with its tolerance.
func TestQuotaOfDividedInstances(t *testing.T) {
	team := &fleet.Team{Name: "t", Rate: 1000, Burst: 1000}
	start := time.Unix(1000, 0)
	tests := []struct {
		name   string
		shares []float64 // Share of the instances in each group.
	}{
		{"together", []float64{1}},
		{"a third cut off", []float64{2.0 / 3, 1.0 / 3}},
		{"halves", []float64{0.5, 0.5}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const window = 8
			cfg := QuotaConfig{Window: window * time.Second, Excess: 0.1, Slack: 100, Random: func() float64 { return 0 }}
			admitted := 0
			for _, share := range test.shares {
				q := NewQuota(cfg)
				q.SetReachable(share)
				for now := start; now.Before(start.Add(window * time.Second)); now = now.Add(time.Millisecond) {
					q.AddOtherUsage(now, nil)
					for range 10 {
						if ok, _ := q.Admit(now, team, 1, 1); ok {
							admitted++
						}
					}
				}
			}
			limit := (team.Rate*window+team.Burst)*(1+cfg.Excess) + cfg.Slack
			assert.Assert(t, float64(admitted) <= limit, "%d admitted, %.0f allowed", admitted, limit)
			assert.Assert(t, float64(admitted) >= team.Rate*window+team.Burst, "%d admitted", admitted)
		})
	}
}

// TestLargeRequestOfDividedInstances guards against a request that is larger than the share of its group and never admitted.
func TestLargeRequestOfDividedInstances(t *testing.T) {
	q, now := NewQuota(QuotaConfig{Window: 8 * time.Second}), time.Unix(1000, 0)
	q.SetReachable(0.5)
	q.AddOtherUsage(now, nil)
	ok, _ := q.Admit(now, &fleet.Team{Name: "t", Rate: 1000, Burst: 1000}, 900, 1)
	assert.Assert(t, ok)
}
