package capacity

import "time"

// Sample is the information that the end of a request gives about its backend server.
type Sample struct {
	Granted              time.Time     // Time of the grant.
	OK                   bool          // Whether the request was answered in full.
	Failed               bool          // Whether the backend server failed or refused the request.
	NotRun               bool          // Whether the request certainly did not run.
	Cold                 bool          // Whether the backend server answered that it is in cold start.
	Aborted              bool          // Whether the backend server aborted a request that it had started.
	MayRun               bool          // Whether the backend server may still be running the request.
	UncachedTokens       int           // Prompt tokens of the request that were computed.
	PendingPrefillTokens int           // Prompt tokens that the server probably had to compute before this request.
	OutputTokens         int           // Output tokens.
	FirstToken           time.Duration // Time from dispatch to the first token.
	InterToken           time.Duration // Mean time between tokens.
}

// prefillTokens returns the prompt tokens that were computed before the first token of the answer.
func (s Sample) prefillTokens() float64 { return float64(s.UncachedTokens + s.PendingPrefillTokens) }
