package engine

import "time"

// Faults are switched on while the engine runs.
type Faults struct {
	Slow       float64       // Factor on the duration of a step; 0 means 1.
	FailEvery  int           // Every n-th request fails with status 500; 0 for none.
	HangAfter  int           // Tokens after which a stream hangs until it is cancelled; 0 for never.
	BreakAt    int           // Tokens that are sent before the connection breaks, once; some may be lost with it. 0 for never.
	Refuse     bool          // Refuses requests before admission.
	Down       bool          // Closes each connection without an answer.
	LoseAnswer int           // The next n requests are admitted and their connections closed before the first byte.
	GapEvery   int           // Every n-th cache event is never published; 0 for none.
	Delay      time.Duration // Added before the first token.
	LoadAbove  int           // Slow and FailEvery count only while more than this many requests run.
	Route      string        // Slow and FailEvery count only for this model name; empty for all.
}

// hit reports whether the faults concern a request for the model while n requests run.
func (f Faults) hit(model string, n int) bool {
	return n > f.LoadAbove && (f.Route == "" || f.Route == model)
}
