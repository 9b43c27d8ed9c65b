package scenario

import (
	"fmt"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/measure/figure"
	"github.com/mustardseam/mustardseam/measure/load"
	"github.com/mustardseam/mustardseam/measure/peers"
)

// Timeline of the heavy-load scenarios, as offsets from the start: the load rises to a multiple of the usual one,
// engines become slow or fail, and an instance fails in the middle of the overload.
const (
	overloadStart    = 6 * time.Second
	overloadEnd      = 16 * time.Second
	heavyArrivalsEnd = 24 * time.Second // End of the arrivals.
	heavyEnd         = 45 * time.Second
	instanceLossTime = 11 * time.Second
)

// heavyConfig returns the settings that the heavy-load deployments share; factor is the load during the overload
// relative to the usual one.
func heavyConfig(seed uint64, factor float64) peers.Config {
	return peers.Config{
		Instances: 8, Word: 125 * time.Millisecond, Lost: instanceLossTime, End: heavyEnd, Seed: seed,
		Loads: []peers.Load{
			{From: 0, To: overloadStart, Factor: 1},
			{From: overloadStart, To: overloadEnd, Factor: factor},
			{From: overloadEnd, To: heavyArrivalsEnd, Factor: 1},
		},
		Faults: []peers.Fault{
			{Engine: 0, From: 8 * time.Second, To: 14 * time.Second, Slow: 5},
			{Engine: 3, From: 10 * time.Second, To: 13 * time.Second},
		},
	}
}

// mixedEngines returns n model engines. Every third one is of a generation that takes 4.4 times as long.
func mixedEngines(n int, e engine.Config) []engine.Config {
	const fast, slow = 1 / 0.68, 1 / 3.0
	var list []engine.Config
	for i := range n {
		e.Name, e.Speed = fmt.Sprintf("e%d", i+1), fast
		if i%3 == 2 {
			e.Speed = slow
		}
		list = append(list, e)
	}
	return list
}

// qasrHeavy returns the heavy-load configuration of the glove makers' deployment, with 12 engines and 8 instances.
func qasrHeavy(seed uint64) peers.Config {
	cfg := heavyConfig(seed, 2.1)
	cfg.Engines = mixedEngines(12, engine.Config{
		MaxBatch: 4, Base: 4630 * time.Microsecond, PerStream: 153 * time.Microsecond, PerPrefill: time.Millisecond * 10 / 379,
		PrefillTokens: 2048, CacheBlocks: 1,
	})
	cfg.First, cfg.Stride = 19*time.Millisecond, 4
	cfg.Kinds = []peers.Kind{
		{
			Name: "pattern-size", Rate: 12.2, Tier: 0, Worth: 6.8, Late: 2, Objective: time.Second, Gap: 500 * time.Millisecond,
			Deadline: 10 * time.Second, Sends: 2, Prompt: load.Lengths{Min: 300, Max: 14600}, Output: load.Lengths{Min: 20, Max: 360},
		},
		{
			Name: "fit-report", Rate: 8.6, Tier: 1, Worth: 1.6, Late: 0.47, Objective: 1500 * time.Millisecond,
			Gap: 500 * time.Millisecond, Deadline: 6 * time.Second, Sends: 1, Prompt: load.Lengths{Min: 300, Max: 10500},
			Output: load.Lengths{Min: 8, Max: 160},
		},
		{
			Name: "stitch-note", Rate: 13.4, Tier: 2, Worth: 0.3, Late: 0.088, Objective: 2 * time.Second,
			Gap: 500 * time.Millisecond, Deadline: 12 * time.Second, Sends: 2, Prompt: load.Lengths{Min: 150, Max: 3790},
			Output: load.Lengths{Min: 25, Max: 530},
		},
	}
	return cfg
}

// tokachiHeavy returns the heavy-load configuration of the strapping makers' deployment, with 9 engines and 8
// instances.
func tokachiHeavy(seed uint64) peers.Config {
	cfg := heavyConfig(seed, 2.1)
	cfg.Engines = mixedEngines(9, engine.Config{
		MaxBatch: 5, Base: 6550 * time.Microsecond, PerStream: 165 * time.Microsecond, PerPrefill: time.Millisecond * 10 / 624,
		PrefillTokens: 2048, CacheBlocks: 1,
	})
	cfg.First, cfg.Stride = 120*time.Millisecond, 3
	cfg.Kinds = []peers.Kind{
		{
			Name: "quote-draft", Rate: 10, Tier: 0, Worth: 5.3, Late: 1.6, Objective: time.Second, Gap: 300 * time.Millisecond,
			Deadline: 12 * time.Second, Sends: 1, Prompt: load.Lengths{Min: 300, Max: 14600}, Output: load.Lengths{Min: 20, Max: 360},
		},
		{
			Name: "contract-read", Rate: 8, Tier: 1, Worth: 2.4, Late: 0.72, Objective: 800 * time.Millisecond,
			Gap: 300 * time.Millisecond, Deadline: 6 * time.Second, Sends: 2, Prompt: load.Lengths{Min: 300, Max: 10500},
			Output: load.Lengths{Min: 8, Max: 160},
		},
		{
			Name: "counter-ask", Rate: 10.8, Tier: 2, Worth: 0.34, Late: 0.1, Objective: 600 * time.Millisecond,
			Gap: 300 * time.Millisecond, Deadline: 15 * time.Second, Sends: 1, Prompt: load.Lengths{Min: 150, Max: 3790},
			Output: load.Lengths{Min: 25, Max: 530},
		},
	}
	return cfg
}

// heavyScenario returns a run of the configuration that compares the product's scheduler with the other policies on the
// same arrivals.
func heavyScenario(config func(seed uint64) peers.Config) func(Options) Result {
	return func(o Options) Result {
		cfg := config(o.Seed)
		records := map[string][]*peers.Record{}
		for _, p := range peers.Policies {
			records[p] = peers.Play(cfg, p).Records
		}
		productRecords := records[peers.Policies[0]]
		offered := earned(productRecords, func(r *peers.Record) float64 { return r.Kind.Worth })
		list := []figure.Figure{
			figure.New("requests", float64(len(productRecords)), ""),
			figure.New("worth-bound", figure.Ratio(peers.Bound(cfg), offered), ""),
		}
		best := 0.0
		for _, p := range peers.Policies {
			list = append(list, figure.New("worth-"+p, worthShare(records[p]), ""))
			if !slices.Contains(peers.Own, p) {
				best = max(best, worthShare(records[p]))
			}
		}
		list = append(list, figure.New("worth-over-best-rule", worthShare(productRecords)/best, "").WithBound(figure.AtLeast, 1, "issue 9"))
		for _, k := range cfg.Kinds {
			part := filter(productRecords, func(r *peers.Record) bool { return r.Kind.Name == k.Name })
			list = append(list, figure.New("worth-of-"+k.Name, worthShare(part), ""))
		}
		list = append(list, sizeDecileFigures(productRecords)...)
		return Result{Figures: append(list, lossFigures(productRecords)...)}
	}
}
