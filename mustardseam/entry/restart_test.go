package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
	"github.com/mustardseam/mustardseam/mustardseam/ratelimit"
)

// restartSimulation runs instances that share quotas and limits over virtual time; all lose power at the same moment.
type restartSimulation struct {
	instances  int
	names      []string
	view       *fleet.View
	bounds     Bounds
	schedulers []*Scheduler
	reported   []map[string]ratelimit.Usage
	started    time.Time // Latest start of the instances.
}

func newRestartSimulation(instances int, bounds Bounds) *restartSimulation {
	r := &restartSimulation{instances: instances, bounds: bounds}
	r.view = fleet.NewView().With(fleet.Change{Config: fleet.NewConfig(1, nil, nil, nil, fleet.Limits{})})
	for i := range instances {
		r.names = append(r.names, fmt.Sprintf("n%d", i))
		r.view = r.view.With(fleet.Change{Instance: &fleet.Instance{Name: r.names[i], Cores: 1}})
	}
	return r
}

// start restarts all instances except the given number of survivors, which come last; the first instance is the hub.
func (r *restartSimulation) start(now time.Time, survivors int) {
	r.started = now
	surviving := r.schedulers[len(r.schedulers)-survivors:]
	r.schedulers, r.reported = nil, make([]map[string]ratelimit.Usage, r.instances)
	r.bounds.Quota.Start = now
	defer func() { r.schedulers = append(r.schedulers, surviving...) }()
	for _, name := range r.names[:r.instances-survivors] {
		r.schedulers = append(r.schedulers, newScheduler(schedulerConfig{
			instance: name, bounds: r.bounds, view: func() *fleet.View { return r.view },
		}))
	}
}

// exchange makes the first instances report; their quota usage reaches the others with the next exchange.
func (r *restartSimulation) exchange(now time.Time, reported int) {
	total, usages := ratelimit.Usage{}, make([]map[string]ratelimit.Usage, r.instances)
	for i, s := range r.schedulers[:reported] {
		_, _, usages[i] = s.takeReport()
		total = total.Plus(r.reported[i]["a"])
	}
	for _, s := range r.schedulers[:reported] {
		if levels := s.quotaLevels(now); levels != nil && !r.schedulers[0].quotasSettled(now) {
			r.schedulers[0].adoptQuotaLevels(now, levels)
		}
	}
	for i, s := range r.schedulers[:reported] {
		s.applyClusterState(now, clusterState{
			instances: r.names[:reported], possibleInstances: reported, loads: map[string]placement.Load{},
			quotaUsage: map[string]ratelimit.Usage{"a": total.Minus(r.reported[i]["a"])},
		})
		if levels := r.schedulers[0].quotaLevels(now); levels != nil && !s.quotasSettled(now) {
			s.adoptQuotaLevels(now, levels)
		}
	}
	r.reported = usages
}

// TestQuotaAfterAllRestart guards against a team that gets far more than its quota, and a service that gets far more retries
// than its limit, when all instances lose power and start at once: none knows what was used before, nor that the others are
// running.
//
// Saved quota levels tell teams apart: one that was below its rate is served at once.
func TestQuotaAfterAllRestart(t *testing.T) {
	tests := []struct {
		name   string
		lost   int     // Instances that lose power: all of 60, or 6 of 7.
		scale  float64 // Size of the team.
		load   float64 // Offered load relative to the team's rate.
		save   bool    // Levels were saved before the loss.
		served float64 // Least fraction of the requested units that is admitted in the 2 s after the start.
	}{
		{"busy team, nothing saved", 60, 1, 1.5, false, 0},
		{"busy team", 60, 1, 1.5, true, 0},
		{"calm team", 60, 1, 0.5, true, 0.6},
		{"busy team, one instance of seven survives", 6, 0.484, 10, true, 0},
		// The share of an instance is less than one request.
		{"small calm team", 60, 0.1, 0.5, true, 0.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			testQuotaAfterAllRestart(t, test.lost, test.scale, test.load, test.save, test.served)
		})
	}
}

func testQuotaAfterAllRestart(t *testing.T, lost int, scale, load float64, save bool, least float64) {
	t.Helper()
	instances, burst := 60, 1860000.0
	if lost < instances {
		instances, burst = lost+1, 460000.0
	}
	const (
		step     = 10 * time.Millisecond
		interval = 200 * time.Millisecond
		units    = 4000.0
	)
	random := rand.New(rand.NewPCG(1, 2))
	// Team and tolerances of the deployment in which the bound was exceeded.
	quota := ratelimit.QuotaConfig{Window: 8 * time.Second, Excess: 0.1, Slack: 140000, Random: random.Float64}
	budget := ratelimit.BudgetConfig{Ratio: 0.2, Extra: 160, Window: 10 * time.Second}
	team := &fleet.Team{Name: "a", Rate: 460000 * scale, Burst: burst * scale, Tokens: true}
	bound := (team.Rate*8+team.Burst)*1.1 + quota.Slack
	r := newRestartSimulation(instances, Bounds{Quota: quota, Budget: budget})
	start := time.Unix(1000, 0)
	r.start(start.Add(-20*time.Second), 0)
	var admitted []float64
	due, next, retries, after, asked, early := 0.0, 0, 0, 0.0, 0.0, 0.0
	var saved fleet.QuotaSnapshot
	for n := range 1600 {
		now := start.Add(time.Duration(n) * step)
		if n%100 == 0 && n < 800 && save {
			saved = fleet.QuotaSnapshot{At: now, Levels: r.schedulers[0].savedLevels(now)}
		}
		if n == 800 {
			r.start(now, instances-lost)
			for _, s := range r.schedulers[:lost] {
				s.restoreQuotas(now, saved)
			}
		}
		up := now.Sub(r.started)
		if n%int(interval/step) == 0 {
			switch {
			case up < 300*time.Millisecond && lost == 60:
			case lost < 60:
				r.exchange(now, instances) // The hub is found at once.
			case up < 500*time.Millisecond:
				r.exchange(now, min(6, instances))
			default:
				r.exchange(now, instances)
			}
		}
		offered := load
		if n >= 800 && up < time.Second {
			offered *= 4 // Disconnected callers come back at once.
		}
		sum := 0.0
		for due += offered * team.Rate * step.Seconds() / units; due >= 1; due-- {
			s := r.schedulers[next%instances]
			if s.admit(now, team, units) == nil {
				sum += units
			}
			if n >= 800 && n < 1000 {
				asked += units
			}
			if n >= 800 && s.takeRetry(now, "pool") {
				retries++
			}
			next++
		}
		switch {
		case n >= 1000:
			after += sum
		case n >= 800:
			early += sum
		}
		admitted = append(admitted, sum)
	}
	window, most := 0.0, 0.0
	for i, a := range admitted {
		window += a
		if i >= 800 {
			window -= admitted[i-800]
		}
		most = max(most, window)
	}
	assert.Assert(t, most <= bound, "%.0f units in a window, bound %.0f", most, bound)
	assert.Assert(t, float64(retries) <= budget.Extra, "%d retries, bound %.0f", retries, budget.Extra)
	assert.Assert(t, after >= 0.9*6*team.Rate*min(1, load), "%.0f units in the 6 s from 2 s after the start", after)
	assert.Assert(t, early >= least*asked, "%.0f of %.0f units in the 2 s from the start", early, asked)
}
