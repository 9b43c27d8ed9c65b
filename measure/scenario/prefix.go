package scenario

import (
	"math"
	"time"

	"github.com/mustardseam/mustardseam/measure/baseline"
	"github.com/mustardseam/mustardseam/measure/figure"
	"github.com/mustardseam/mustardseam/measure/load"
	"github.com/mustardseam/mustardseam/measure/site"
)

// reuse is rated load whose prompts begin with one of 60 prefixes of 960 tokens. All of them take 3600 blocks, more
// than twice what one engine's cache holds.
func reuse(uint64) plan {
	const end = 60 * time.Second
	s := site.Qasr()
	m := models(s)
	m.Prompt = load.Lengths{Min: 10, Max: 1000}
	m.Prefixes, m.PrefixTokens = 60, 960
	c := capacity(s, m)
	return plan{
		site: s, capacity: c, from: 10 * time.Second, to: end, end: end + drain, rated: true,
		phases: []load.Phase{at(m, c, rated, 0, end), orders(s, end)},
	}
}

// prefixReuse runs the plan with the chosen scheduler and with every baseline, and bounds the wasted prefill by half
// of the best baseline's.
func prefixReuse(o Options) Result {
	p := reuse(o.Seed)
	best := math.Inf(1)
	for _, name := range baseline.Names {
		mk, _ := baseline.Maker(name)
		best = min(best, execute(p, Options{Seed: o.Seed, Make: mk}).prefill().Value)
	}
	r := execute(p, o)
	res := r.result()
	for i, f := range res.Figures {
		if f.Name == r.prefill().Name {
			res.Figures[i] = f.With(figure.Below, best/2, figure.Targets)
		}
	}
	return res
}
