package prompts

import "time"

// Result sums up a run.
type Result struct {
	Requests    int
	Read        int           // Prompt tokens that engines processed.
	Kept        int           // Prompt tokens that engines had in their caches.
	Missed      int           // Of these, tokens that were not expected to be kept.
	Overrated   int           // Prompt tokens that were expected to be kept and were not.
	ReadAgain   int           // Tokens processed of parts that some engine had processed before.
	FirstEvent  time.Duration // Mean time from the arrival to the first token.
	FirstEvent9 time.Duration // 95th percentile of that time.
	InterToken  time.Duration // Mean time between two tokens.
	// HotMet is the mean number of requests at the engine to which a request with the most frequent first part is sent.
	HotMet float64
}
