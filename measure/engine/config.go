package engine

import "time"

// BlockTokens is the size of a prompt block in tokens.
const BlockTokens = 16

// Config describes one backend server; times are those of a server of speed 1.
type Config struct {
	Name          string
	Version       string
	Speed         float64       // Relative to the reference generation.
	MaxBatch      int           // Requests that run at a time; more wait inside the engine.
	Base          time.Duration // Part of a step that does not depend on the batch.
	PerStream     time.Duration // Part of a step for each decoding stream.
	PerPrefill    time.Duration // Part of a step for each prompt token taken in.
	PrefillTokens int           // Prompt tokens that one step can take in.
	CacheBlocks   int           // Prompt blocks that the prefix cache holds.
	ColdFor       int           // Requests to be completed before a cold server is warm.
	ColdLimit     int           // Requests at a time above which a cold server falls over.
	ReportLag     time.Duration // Age of a load report.
	EventLag      time.Duration // Age of a cache event.
	EventLoss     float64       // Share of cache events that are never published.
	LateBatch     bool          // Reports count requests as waiting that came during the current step.
	Seed          uint64
}

// Step returns the duration of a step of the given batch.
func (c Config) Step(streams, prefill int) time.Duration {
	d := c.Base + time.Duration(streams)*c.PerStream + time.Duration(prefill)*c.PerPrefill
	return time.Duration(float64(d) / c.Speed)
}

// Duration returns the time from admission to the last token in a full batch, where each step also takes in a full
// prefill budget.
func (c Config) Duration(prompt, output int) time.Duration {
	steps := output + (prompt+c.PrefillTokens-1)/c.PrefillTokens
	return time.Duration(steps) * c.Step(c.MaxBatch, c.PrefillTokens)
}

// Reference is the model engine of speed 1. Its step of a full batch with a full prefill budget takes 31.3 ms, so that
// slower generations with smaller batches stay below the 48 ms between tokens of design 4.1.
var Reference = Config{
	Speed: 1, MaxBatch: 16, Base: 14 * time.Millisecond, PerStream: 600 * time.Microsecond,
	PerPrefill: 30 * time.Microsecond, PrefillTokens: 256, CacheBlocks: 1500, ColdFor: 20, ColdLimit: 2,
	ReportLag: 500 * time.Millisecond, EventLag: 500 * time.Millisecond, EventLoss: 0.02,
}

// Work returns the time that a request takes from a full batch of the reference engine: its prompt at the cost of
// prefill, and for each token of output its own part and an equal part of the base.
func Work(prompt, output int) time.Duration {
	decode := Reference.PerStream + Reference.Base/time.Duration(Reference.MaxBatch)
	return time.Duration(prompt)*Reference.PerPrefill + time.Duration(output)*decode
}
