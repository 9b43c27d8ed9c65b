package scenario

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/measure/load"
	"github.com/mustardseam/mustardseam/measure/site"
	"github.com/mustardseam/mustardseam/operator"
)

// ratedLoad is the rated load as a share of the saturated fleet's capacity. The remainder equals the capacity of one of
// three data centres without its fastest engines.
const ratedLoad = 0.75

// orderRate is the rate of calls to the plain services, in requests per second.
const orderRate = 4

// workSamples is the number of requests over which the mean work of a mix is estimated.
const workSamples = 4000

// timeouts holds the request timeouts by rank. They leave room for the longest answer on the slowest engine, which
// takes 17 s.
var timeouts = []time.Duration{30 * time.Second, 40 * time.Second, 60 * time.Second}

// modelMix returns the mix of calls to the models. Lengths differ by a factor of 100, and each team calls in proportion
// to its weight.
func modelMix(s site.Site) load.Mix {
	m := load.Mix{
		Teams: teamsByWeight(s.Document), Tiers: []float64{0.25, 0.35, 0.4},
		Prompt: load.Lengths{Min: 40, Max: 4000}, Output: load.Lengths{Min: 4, Max: 400}, Timeouts: timeouts,
	}
	for _, r := range s.Document.Routes {
		if r.Pool == site.Models {
			m.Routes = append(m.Routes, load.Choice{Name: r.Name, Weight: 1})
		}
	}
	return m
}

func teamsByWeight(d operator.Document) []load.Choice {
	var teams []load.Choice
	for _, t := range d.Teams {
		teams = append(teams, load.Choice{Name: t.Name, Weight: t.Weight})
	}
	return teams
}

// orderPhase returns the calls to the plain services until the given end. All are non-idempotent and of the top tier.
func orderPhase(s site.Site, end time.Duration) load.Phase {
	m := load.Mix{
		Teams: teamsByWeight(s.Document), Tiers: []float64{1}, Prompt: load.Lengths{Min: 1, Max: 1},
		Output: load.Lengths{Min: 1, Max: 1}, Timeouts: timeouts, NonIdempotent: true,
	}
	for _, r := range s.Document.Routes {
		if r.Pool == site.Services {
			m.Routes = append(m.Routes, load.Choice{Name: r.Name, Weight: 1})
		}
	}
	return load.Phase{Mix: m, Rate: orderRate, End: end}
}

// capacity returns the work per second that the model engines of the old version complete when each is saturated with
// the mix. Engines in the excluded data centres do not count.
func capacity(s site.Site, m load.Mix, excluded ...string) time.Duration {
	out := map[string]bool{}
	for _, dc := range excluded {
		out[dc] = true
	}
	var sum time.Duration
	for i, cfg := range s.Engines {
		b := s.Document.BackendServers[i]
		if b.Pool != site.Models || out[b.DataCentre] || b.Version != site.Old {
			continue
		}
		g := load.New(cfg.Seed, "saturated", 1)
		sum += engine.SaturatedThroughput(cfg, func() engine.Stream {
			r := g.Next(m)
			return engine.Stream{Route: r.Route, Prompt: r.Prompt, Output: r.Output, Blocks: r.Blocks}
		})
	}
	return sum
}

// requestRate returns the rate, in requests per second, at which the mix demands the given work per second.
func requestRate(m load.Mix, work time.Duration) float64 {
	g := load.New(1, "sample", 1)
	var sum time.Duration
	for range workSamples {
		r := g.Next(m)
		sum += engine.ComputeTime(r.Prompt, r.Output)
	}
	return float64(work) * workSamples / float64(sum)
}

// phaseAtShare returns a phase of the mix that demands the given share of the capacity.
func phaseAtShare(m load.Mix, capacity time.Duration, share float64, start, end time.Duration) load.Phase {
	return load.Phase{Mix: m, Rate: share * requestRate(m, capacity), Start: start, End: end}
}
