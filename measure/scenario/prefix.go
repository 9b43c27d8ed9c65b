package scenario

import (
	"math"
	"time"

	"github.com/mustardseam/mustardseam/measure/baseline"
	"github.com/mustardseam/mustardseam/measure/figure"
	"github.com/mustardseam/mustardseam/measure/load"
	"github.com/mustardseam/mustardseam/measure/site"
)

// sharedPrefixPlan returns rated load whose prompts begin with one of 60 prefixes of 960 tokens. Together they take
// 3600 blocks, more than twice what one engine's cache holds.
func sharedPrefixPlan(uint64) plan {
	const end = 60 * time.Second
	s := site.Qasr()
	m := modelMix(s)
	m.Prompt = load.Lengths{Min: 10, Max: 1000}
	m.Prefixes, m.PrefixTokens = 60, 960
	c := capacity(s, m)
	return plan{
		site: s, capacity: c, windowStart: 10 * time.Second, windowEnd: end, end: end + drain, hasLatencyTargets: true,
		phases: []load.Phase{phaseAtShare(m, c, ratedLoad, 0, end), orderPhase(s, end)},
	}
}

// prefixReuse runs the plan with the chosen scheduler and with every baseline. The bound on wasted prefill is half of
// the lowest value among the baselines.
func prefixReuse(o Options) Result {
	p := sharedPrefixPlan(o.Seed)
	best := math.Inf(1)
	for _, name := range baseline.Names {
		newScheduler, _ := baseline.Factory(name)
		best = min(best, execute(p, Options{Seed: o.Seed, NewScheduler: newScheduler}).wastedPrefill().Value)
	}
	r := execute(p, o)
	result := r.buildResult()
	for i, f := range result.Figures {
		if f.Name == r.wastedPrefill().Name {
			result.Figures[i] = f.WithBound(figure.Below, best/2, figure.Targets)
		}
	}
	return result
}
