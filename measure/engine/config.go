package engine

import "time"

// BlockTokens is the size of a prompt block in tokens.
const BlockTokens = 16

// Config describes one backend server. Times are those of a server of speed 1.
type Config struct {
	Name                string
	Version             string
	Speed               float64       // Speed relative to the reference generation.
	MaxBatch            int           // Maximum number of requests that run at a time; more wait inside the engine.
	Base                time.Duration // Part of the step time that does not depend on the batch.
	PerStream           time.Duration // Part of the step time per decoding stream.
	PerPrefill          time.Duration // Part of the step time per prompt token processed.
	PrefillTokens       int           // Maximum number of prompt tokens that one step can process.
	CacheBlocks         int           // Capacity of the prefix cache in prompt blocks.
	MemoryTokens        int           // Tokens that the prefix cache and running requests share; 0 if the cache has its own memory.
	ColdRequests        int           // Number of requests that a cold server must complete to become warm.
	ColdLimit           int           // Number of concurrent requests above which a cold server fails all of them.
	ReportLag           time.Duration // Age of a load report when it is published.
	EventLag            time.Duration // Age of a cache event when it is published.
	EventLoss           float64       // Share of cache events that are never published, 0 to 1.
	ReportsLagAdmission bool          // Reports count requests that arrived during the current step as waiting.
	Seed                uint64
}

// StepTime returns the duration of a step with the given numbers of decoding streams and prefill tokens.
func (c Config) StepTime(streams, prefill int) time.Duration {
	d := c.Base + time.Duration(streams)*c.PerStream + time.Duration(prefill)*c.PerPrefill
	return time.Duration(float64(d) / c.Speed)
}

// FullBatchDuration returns the time from admission to the last token in a full batch where each step also uses the
// full prefill budget.
func (c Config) FullBatchDuration(prompt, output int) time.Duration {
	steps := output + (prompt+c.PrefillTokens-1)/c.PrefillTokens
	return time.Duration(steps) * c.StepTime(c.MaxBatch, c.PrefillTokens)
}

// Reference is the model engine of speed 1. A step with a full batch and a full prefill budget takes 31.3 ms, so that
// slower generations with smaller batches stay below the target of 48 ms between tokens (design 4.1).
var Reference = Config{
	Speed: 1, MaxBatch: 16, Base: 14 * time.Millisecond, PerStream: 600 * time.Microsecond,
	PerPrefill: 30 * time.Microsecond, PrefillTokens: 256, CacheBlocks: 1500, ColdRequests: 20, ColdLimit: 2,
	ReportLag: 500 * time.Millisecond, EventLag: 500 * time.Millisecond, EventLoss: 0.02,
}

// ComputeTime returns the time that a request costs in a full batch of the reference engine: its prompt at the cost of
// prefill, and for each output token the cost per stream and an equal share of the base time of the step.
func ComputeTime(prompt, output int) time.Duration {
	decode := Reference.PerStream + Reference.Base/time.Duration(Reference.MaxBatch)
	return time.Duration(prompt)*Reference.PerPrefill + time.Duration(output)*decode
}
