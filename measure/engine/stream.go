package engine

import "time"

// Stream is one request at a backend server and its progress.
type Stream struct {
	ID     string
	Route  string
	Prompt int                     // Length of the prompt in tokens.
	Output int                     // Number of tokens to generate.
	Blocks []uint64                // Hashes of the complete prompt blocks, in order.
	Began  func()                  // Called when the first token is generated; may be nil.
	Token  func(gap time.Duration) // Called for each token after the first, with the time since the previous one; may be nil.
	End    func(Stream)            // Called once when the stream ends, unless it was cancelled; may be nil.

	CachedTokens int // Number of prompt tokens read from the prefix cache.
	Tokens       int // Number of tokens generated so far.
	Failed       bool
	Cold         bool      // The backend server was cold when the stream ended.
	Start        time.Time // Time of admission.
	First        time.Time // Time of the first token; zero before it.
	Last         time.Time // Time of the latest token; zero before the first one.
	prefillLeft  int       // Number of prompt tokens still to be processed.
	stepPrefill  int       // Number of prompt tokens that the current step processes.
	willFail     bool      // The stream fails instead of generating its first token.
	decodes      bool      // The current step generates a token.
}

// Prefilled returns the number of prompt tokens computed so far.
func (s *Stream) Prefilled() int { return s.Prompt - s.CachedTokens - s.prefillLeft }

// Between returns the mean time between tokens, or 0 if fewer than two were generated.
func (s *Stream) Between() time.Duration {
	if s.Tokens < 2 {
		return 0
	}
	return s.Last.Sub(s.First) / time.Duration(s.Tokens-1)
}
