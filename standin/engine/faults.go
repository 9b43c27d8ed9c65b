package engine

import "time"

// Faults are failures that can be injected while the engine runs.
type Faults struct {
	Slow       float64       // Factor by which the duration of a step is multiplied; values up to 1, such as 0, have no effect.
	FailEvery  int           // Every n-th request fails with status 500; 0 for none.
	HangAfter  int           // Number of tokens after which a stream hangs until it is cancelled; 0 for never.
	BreakAt    int           // Number of tokens sent before the connection breaks, once; some may be lost with it. 0 for never.
	Refuse     bool          // Requests are refused before admission.
	Down       bool          // Every connection is closed without an answer.
	LoseAnswer int           // The next n requests are admitted and their connections closed before the first byte.
	GapEvery   int           // Every n-th cache event is never published; 0 for none.
	Delay      time.Duration // Additional delay before the first token.
	LoadAbove  int           // Slow and FailEvery apply only while more than this many requests run.
	Route      string        // Slow and FailEvery apply only to this model name; empty for all.
}

// applies reports whether Slow and FailEvery apply to a request for the model while n requests run.
func (f Faults) applies(model string, n int) bool {
	return n > f.LoadAbove && (f.Route == "" || f.Route == model)
}
