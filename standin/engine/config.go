package engine

import "time"

// Config describes one engine; zero values of MaxBatch, Step, PrefillTokens and Remember take defaults.
type Config struct {
	Name          string
	Version       string
	MaxBatch      int           // Requests that run at a time; more wait inside the engine.
	Step          time.Duration // Duration of one decoding step of a full batch.
	PrefillTokens int           // Prompt tokens that one step can take in.
	CacheBlocks   int           // Prompt blocks that the prefix cache holds.
	ColdFor       int           // Requests to be completed before the engine is warm.
	ColdLimit     int           // Requests at a time above which a cold engine falls over.
	ReportLag     time.Duration // Age of a load report.
	EventLag      time.Duration // Age at which a cache event is published.
	ChecksFencing bool          // Refuses an order with a token below the highest one seen.
	Remember      int           // Ended streams kept for a resume, and cache events kept for a late reader.
	// Notice is the time after the first answered load report that shows a sudden cold start in which requests beyond the
	// cold limit still count as unannounced; permits that are on their way take that long.
	Notice time.Duration
}

// withDefaults fills what was left out.
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
