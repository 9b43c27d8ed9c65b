package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/measure/load"
)

// overloadedConfig returns a small overloaded deployment in which an engine and an instance fail.
func overloadedConfig(seed uint64) Config {
	e := engine.Config{
		Speed: 1, MaxBatch: 4, Base: 5 * time.Millisecond, PerStream: 200 * time.Microsecond,
		PerPrefill: 25 * time.Microsecond, PrefillTokens: 2048, CacheBlocks: 1,
	}
	cfg := Config{
		Instances: 4, Word: 125 * time.Millisecond, First: 20 * time.Millisecond, Stride: 4, Seed: seed,
		Loads: []Load{{From: 0, To: 6 * time.Second, Factor: 1}}, Lost: 2 * time.Second, End: 20 * time.Second,
		Faults: []Fault{{Engine: 0, From: 3 * time.Second, To: 4 * time.Second}},
	}
	for _, name := range []string{"a", "b", "c"} {
		e.Name = name
		cfg.Engines = append(cfg.Engines, e)
	}
	for tier, name := range []string{"high", "low"} {
		cfg.Kinds = append(cfg.Kinds, Kind{
			Name: name, Rate: 10, Tier: tier, Worth: float64(2 - tier), Late: 0.5, Objective: time.Second,
			Gap: 500 * time.Millisecond, Deadline: 5 * time.Second, Sends: 2,
			Prompt: load.Lengths{Min: 300, Max: 8000}, Output: load.Lengths{Min: 20, Max: 300},
		})
	}
	return cfg
}

func totalWorth(list []*Record) (sum float64) {
	for _, r := range list {
		sum += r.Worth()
	}
	return sum
}

// TestRequestsEndUnderEveryPolicy guards against requests that never end, loads that are not released and differing results
// for the same seed.
func TestRequestsEndUnderEveryPolicy(t *testing.T) {
	for _, policy := range Policies {
		t.Run(policy, func(t *testing.T) {
			cfg := overloadedConfig(1)
			w := Play(cfg, policy)
			for _, r := range w.Records {
				assert.Assert(t, r.State != Open, "request %s", r.ID)
			}
			for _, inst := range w.instances {
				assert.Assert(t, inst.dead || len(inst.board.OwnLoads()) == 0, "loads %v", inst.board.OwnLoads())
			}
			assert.Equal(t, totalWorth(Play(cfg, policy).Records), totalWorth(w.Records))
			assert.Assert(t, totalWorth(w.Records) != totalWorth(Play(overloadedConfig(2), policy).Records))
		})
	}
}

// TestBoundHoldsUnderOverload guards against a bound that a scheduler exceeds, and against one that is not tight enough to
// matter under overload.
func TestBoundHoldsUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		cfg := overloadedConfig(seed)
		for i := range cfg.Kinds {
			cfg.Kinds[i].Rate *= 4
		}
		offered := 0.0
		for _, r := range Arrivals(cfg) {
			offered += r.Kind.Worth
		}
		limit := Bound(cfg)
		assert.Assert(t, limit < 0.9*offered, "bound %.1f of %.1f", limit, offered)
		for _, policy := range Policies {
			got := totalWorth(Play(cfg, policy).Records)
			assert.Assert(t, got <= limit, "%s earned %.1f, bound %.1f", policy, got, limit)
		}
	}
}
