package engine

import "time"

// Config describes one engine and the faults that it starts with.
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
	EventLag      time.Duration // Age of a cache event.
	ChecksFencing bool
}
