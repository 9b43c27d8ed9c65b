package prompts

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/measure/engine"
)

// usualConfig returns a load that uses about half of the slots of 20 engines: 22 % of the prompts begin with the same part, the
// second part is one of 60, and 30 % continue a session.
func usualConfig(seed uint64) Config {
	return Config{
		Engines: 20, Memory: 60_000, Rate: 60, Templates: 12, TemplateShare: 0.22, Template: 960, Documents: 60, Document: 640,
		Sessions: 0.3, Own: 480, Output: 100, End: 15 * time.Second, Seed: seed,
		Engine: engine.Config{
			Speed: 1, MaxBatch: 5, Base: 6 * time.Millisecond, PerStream: 250 * time.Microsecond,
			PerPrefill: 25 * time.Microsecond, PrefillTokens: 2048,
		},
	}
}

// TestKeptPromptsAreUsed guards against a placement that reads parts again which another engine keeps, that gains cache hits at
// the price of later first events or slower streams, and against requests with a frequent part that crowd at the engines
// which keep it, and against a record that differs from what the engines keep.
func TestKeptPromptsAreUsed(t *testing.T) {
	tests := []struct {
		name      string
		change    func(*Config)
		readAgain float64 // Largest allowed number of tokens read again, relative to placement without regard to prompts.
	}{
		{"usual load", func(*Config) {}, 0.7},
		{"light load", func(c *Config) { c.Rate = 20 }, 0.7},
		{"all slots in use", func(c *Config) { c.Rate = 110 }, 1},
		{"little memory", func(c *Config) { c.Memory = 16_000 }, 0.7},
		{"templates only", func(c *Config) { c.Sessions, c.Documents = 0, 0 }, 0.9},
		{"one template", func(c *Config) {
			c.Sessions, c.Documents, c.TemplateShare, c.Template, c.Rate, c.Output = 0, 0, 1, 2000, 30, 200
		}, 1},
		{"long frequent template", func(c *Config) { c.Template, c.TemplateShare, c.Rate, c.Output = 6000, 0.28, 30, 200 }, 0.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var without, with [2]Result
			for seed := range with {
				cfg := usualConfig(uint64(seed))
				test.change(&cfg)
				with[seed] = Play(cfg)
				cfg.IgnorePrompts = true
				without[seed] = Play(cfg)
				t.Logf("seed %d without: %+v", seed, without[seed])
				t.Logf("seed %d with:    %+v", seed, with[seed])
			}
			sum := func(results [2]Result, f func(Result) float64) float64 { return f(results[0]) + f(results[1]) }
			again := func(r Result) float64 { return float64(r.ReadAgain) }
			assert.Assert(t, sum(with, again) <= test.readAgain*sum(without, again))
			first := func(r Result) float64 { return r.FirstEvent.Seconds() }
			assert.Assert(t, sum(with, first) <= sum(without, first))
			pause := func(r Result) float64 { return r.InterToken.Seconds() }
			assert.Assert(t, sum(with, pause) <= sum(without, pause))
			wrong := func(r Result) float64 { return float64(r.Missed + r.Overrated) }
			kept := func(r Result) float64 { return float64(r.Kept) }
			assert.Assert(t, sum(with, wrong) <= 0.02*sum(with, kept))
			met := func(r Result) float64 { return r.HotMet }
			assert.Assert(t, sum(with, met) <= sum(without, met))
		})
	}
}

// TestPlayIsReproducible guards against runs of one seed that differ.
func TestPlayIsReproducible(t *testing.T) {
	cfg := usualConfig(7)
	cfg.End = 5 * time.Second
	assert.Equal(t, Play(cfg), Play(cfg))
}
