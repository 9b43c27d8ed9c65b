package share

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

var start = time.Unix(1000, 0)

// TestQuotaSum guards against more than a team may use: a team asks 20 times its rate of 8 and of 60 instances, which
// hear from each other at intervals or not at all.
func TestQuotaSum(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	cfg := QuotaConfig{Window: 8 * time.Second, Excess: 0.1, Slack: 190000, Random: random.Float64}
	team := &fleet.Team{Name: "a", Rate: 50000, Burst: 50000, Tokens: true}
	bound := (team.Rate*8+team.Burst)*1.1 + cfg.Slack
	tests := []struct {
		name     string
		nodes    int
		interval time.Duration // Between words; 0 for none at all.
		least    float64       // Part of the plain limit that must be used.
		restart  bool          // All instances are killed after 6 s and know nothing of before.
	}{
		{"8 instances", 8, 120 * time.Millisecond, 1, false},
		{"60 instances", 60, 200 * time.Millisecond, 1, false},
		{"cut off", 8, 0, 0.9, false},
		{"killed", 8, 120 * time.Millisecond, 0.9, true},
		{"60 killed", 60, 200 * time.Millisecond, 0.9, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			nodes := make([]*Quota, test.nodes)
			for i := range nodes {
				nodes[i] = newQuotaAt(cfg, start)
			}
			const step = 10 * time.Millisecond
			const units = 2000.0
			perStep := 20 * team.Rate * step.Seconds() / units
			var admitted []float64
			due, next, told := 0.0, 0, make([]Use, test.nodes)
			for n := range 1200 {
				now := start.Add(time.Duration(n) * step)
				if test.restart && n == 600 {
					for i := range nodes {
						nodes[i] = newQuotaAt(cfg, now)
					}
					clear(told)
				}
				sum := 0.0
				for due += perStep; due >= 1; due-- {
					if ok, _ := nodes[next%test.nodes].Admit(now, team, units, test.nodes); ok {
						sum += units
					}
					next++
				}
				admitted = append(admitted, sum)
				if test.interval > 0 && n%int(test.interval/step) == 0 {
					// What the hub learned in this interval reaches the others in the next one.
					total, uses := Use{}, make([]Use, test.nodes)
					for i, q := range nodes {
						uses[i] = q.Told()["a"]
						total = total.Plus(told[i])
					}
					for i, q := range nodes {
						q.Hear(now, map[string]Use{"a": total.Minus(told[i])})
					}
					told = uses
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
			assert.Assert(t, total >= test.least*team.Rate*12*0.95, "%.0f units in 12 s", total)
		})
	}
}

// newQuotaAt returns the quota of an instance that starts at a time.
func newQuotaAt(cfg QuotaConfig, at time.Time) *Quota {
	cfg.Start = at
	return NewQuota(cfg)
}

// TestBudgetSum guards against a storm of retries over all instances while every request fails.
func TestBudgetSum(t *testing.T) {
	for _, n := range []int{1, 8, 60, 78} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			cfg := BudgetConfig{Ratio: 0.2, Extra: 2.5 * float64(n), Window: 10 * time.Second}
			nodes := make([]*Budget, n)
			for i := range nodes {
				nodes[i] = NewBudget(cfg)
			}
			// In a minute without faults nothing may be saved for the window in which all requests fail.
			for range 600 {
				for _, b := range nodes {
					b.First("s", n)
				}
			}
			first, retries := 0, 0
			for step := range 100 {
				now := start.Add(time.Duration(step) * 100 * time.Millisecond)
				for _, b := range nodes {
					b.First("s", n)
					first++
					for range 3 {
						if b.Allow(now, "s", n) {
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

// TestColdSum guards against more requests to a cold backend server than it bears, over all instances in any second.
func TestColdSum(t *testing.T) {
	cfg := ColdConfig{Excess: 1.5, Slack: 5}
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
				c := NewCold(cfg)
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
				in := 0
				for _, at := range times {
					if !at.Before(from) && at.Sub(from) < time.Second {
						in++
					}
				}
				most = max(most, in)
			}
			assert.Assert(t, float64(most) <= rate*cfg.Excess+cfg.Slack, "%d in a second", most)
			assert.Assert(t, most >= 1)
		})
	}
}

// TestQuotaHeardFirst guards against a team whose calm requests are refused because this instance heard of its use by
// others before it was asked itself.
func TestQuotaHeardFirst(t *testing.T) {
	team := &fleet.Team{Name: "a", Rate: 1000, Burst: 1000, Tokens: true}
	q := newQuotaAt(QuotaConfig{Window: 8 * time.Second, Excess: 0.1, Slack: 1000}, start)
	now := start.Add(10 * time.Second)
	q.Hear(now, map[string]Use{"a": {Asked: 500, Spent: 500}})
	ok, _ := q.Admit(now.Add(time.Millisecond), team, 200, 8)
	assert.Assert(t, ok)
}
