package engine

import "time"

// Config holds the settings of an engine; MaxBatch, Step, PrefillTokens and Remember have defaults for zero.
type Config struct {
	Name          string
	Version       string
	MaxBatch      int           // Maximum number of requests in the batch; further ones wait in the engine's queue.
	Step          time.Duration // Duration of one decoding step, whatever the batch size.
	PrefillTokens int           // Maximum number of prompt tokens prefilled in one step.
	CacheBlocks   int           // Capacity of the prefix cache in prompt blocks.
	ColdFor       int           // Number of requests that must complete before the engine is warm.
	ColdLimit     int           // Number of concurrent requests above which a cold engine fails all of them.
	ReportLag     time.Duration // Minimum age of a load report when it is published.
	EventLag      time.Duration // Minimum age of a cache event when it is published.
	ChecksFencing bool          // Orders with a fencing token below the highest one seen are refused.
	Remember      int           // Number of ended streams kept for a resume, and of cache events kept for late readers.
	// Notice is the time after the first published load report with an unannounced cold start in which requests above
	// the cold limit still count as unannounced. Permits may be in transit for that long.
	Notice time.Duration
}

// withDefaults returns the settings with defaults in place of zero values.
func (c Config) withDefaults() Config {
	set := func(n *int, v int) {
		if *n <= 0 {
			*n = v
		}
	}
	set(&c.MaxBatch, 8)
	set(&c.PrefillTokens, 1024)
	set(&c.Remember, 4096)
	if c.Step <= 0 {
		c.Step = 5 * time.Millisecond
	}
	return c
}
