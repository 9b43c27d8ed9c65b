package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

var start = time.Unix(1000, 0)

// TestQuotaBoundOverInstances guards against exceeding the limit of a team that requests 20 times its rate from 8 and
// from 60 instances, which exchange reports at intervals or not at all.
func TestQuotaBoundOverInstances(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	cfg := QuotaConfig{Window: 8 * time.Second, Excess: 0.1, Slack: 190000, Random: random.Float64}
	team := &fleet.Team{Name: "a", Rate: 50000, Burst: 50000, Tokens: true}
	bound := (team.Rate*8+team.Burst)*1.1 + cfg.Slack
	tests := []struct {
		name      string
		instances int
		interval  time.Duration // Time between reports; 0 for no reports.
		minUsage  float64       // Minimum usage as a fraction of the rate.
		restart   bool          // All instances are killed after 6 s and do not know the earlier usage.
	}{
		{"8 instances", 8, 120 * time.Millisecond, 1, false},
		{"60 instances", 60, 200 * time.Millisecond, 1, false},
		{"cut off", 8, 0, 0.9, false},
		{"killed", 8, 120 * time.Millisecond, 0.9, true},
		{"60 killed", 60, 200 * time.Millisecond, 0.9, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			quotas := make([]*Quota, test.instances)
			for i := range quotas {
				quotas[i] = newQuotaAt(cfg, start)
			}
			const step = 10 * time.Millisecond
			const units = 2000.0
			perStep := 20 * team.Rate * step.Seconds() / units
			var admitted []float64
			due, next, lastReported := 0.0, 0, make([]Usage, test.instances)
			for n := range 1200 {
				now := start.Add(time.Duration(n) * step)
				if test.restart && n == 600 {
					for i := range quotas {
						quotas[i] = newQuotaAt(cfg, now)
					}
					clear(lastReported)
				}
				sum := 0.0
				for due += perStep; due >= 1; due-- {
					if ok, _ := quotas[next%test.instances].Admit(now, team, units, test.instances); ok {
						sum += units
					}
					next++
				}
				admitted = append(admitted, sum)
				if test.interval > 0 && n%int(test.interval/step) == 0 {
					// What the hub learns in one interval reaches the instances in the next one.
					total, usages := Usage{}, make([]Usage, test.instances)
					for i, q := range quotas {
						usages[i] = q.TakePendingUsage()["a"]
						total = total.Plus(lastReported[i])
					}
					for i, q := range quotas {
						q.AddOtherUsage(now, map[string]Usage{"a": total.Minus(lastReported[i])})
					}
					lastReported = usages
				}
			}
			window, total, most := 0.0, 0.0, 0.0
			for i, a := range admitted {
				window += a
				total += a
				if i >= 800 {
					window -= admitted[i-800]
				}
				most = max(most, window)
			}
			assert.Assert(t, most <= bound, "%.0f units in a window, bound %.0f", most, bound)
			assert.Assert(t, total >= test.minUsage*team.Rate*12*0.95, "%.0f units in 12 s", total)
		})
	}
}

// newQuotaAt returns the quota of an instance that starts at a given time.
func newQuotaAt(cfg QuotaConfig, at time.Time) *Quota {
	cfg.Start = at
	return NewQuota(cfg)
}

// TestRetryBoundOverInstances guards against a retry storm over all instances while every request fails.
func TestRetryBoundOverInstances(t *testing.T) {
	for _, n := range []int{1, 8, 60, 78} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			cfg := BudgetConfig{Ratio: 0.2, Extra: 2.5 * float64(n), Window: 10 * time.Second}
			budgets := make([]*Budget, n)
			for i := range budgets {
				budgets[i] = NewBudget(cfg)
			}
			// A minute without failures must not earn retries beyond the limit of the window in which all requests fail.
			for range 600 {
				for _, b := range budgets {
					b.CountFirst("s", n)
				}
			}
			first, retries := 0, 0
			for step := range 100 {
				now := start.Add(time.Duration(step) * 100 * time.Millisecond)
				for _, b := range budgets {
					b.CountFirst("s", n)
					first++
					for range 3 {
						if b.Take(now, "s", n) {
							retries++
						}
					}
				}
			}
			bound := cfg.Ratio*float64(first) + cfg.Extra
			assert.Assert(t, float64(retries) <= bound, "%d retries of %d requests, bound %.0f", retries, first, bound)
			assert.Assert(t, retries > 0)
		})
	}
}

// TestColdBoundOverInstances guards against exceeding, over all instances and in any second, the rate that a cold
// backend server can handle.
func TestColdBoundOverInstances(t *testing.T) {
	cfg := ColdLimiterConfig{RateFactor: 1.5, Slack: 5}
	const rate = 5.2
	for _, n := range []int{1, 8, 60, 350} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprintf("n%d", i)
			}
			s := &fleet.Server{ID: "s"}
			var times []time.Time
			for _, name := range names {
				c := NewColdLimiter(cfg)
				for step := range 300 {
					now := start.Add(time.Duration(step) * 10 * time.Millisecond)
					if c.Free(now, s, name, c.Allowed(rate, s, name, names)) {
						assert.Assert(t, c.Take(now, s, name, c.Allowed(rate, s, name, names)))
						times = append(times, now)
					}
				}
			}
			most := 0
			for _, from := range times {
				inWindow := 0
				for _, at := range times {
					if !at.Before(from) && at.Sub(from) < time.Second {
						inWindow++
					}
				}
				most = max(most, inWindow)
			}
			assert.Assert(t, float64(most) <= rate*cfg.RateFactor+cfg.Slack, "%d in a second", most)
			assert.Assert(t, most >= 1)
		})
	}
}

// TestQuotaReportBeforeFirstRequest guards against refusing a team that stays within its limit because this instance
// received a report of its usage through other instances before the first request of the team.
func TestQuotaReportBeforeFirstRequest(t *testing.T) {
	team := &fleet.Team{Name: "a", Rate: 1000, Burst: 1000, Tokens: true}
	q := newQuotaAt(QuotaConfig{Window: 8 * time.Second, Excess: 0.1, Slack: 1000}, start)
	now := start.Add(10 * time.Second)
	q.AddOtherUsage(now, map[string]Usage{"a": {Requested: 500, Admitted: 500}})
	ok, _ := q.Admit(now.Add(time.Millisecond), team, 200, 8)
	assert.Assert(t, ok)
}
