package engine

import "time"

// Stream is one request at a backend server.
type Stream struct {
	ID     string
	Route  string
	Prompt int // Tokens.
	Output int // Tokens that it generates.
	Blocks []uint64
	Began  func()                  // Called for the first token; may be nil.
	Token  func(gap time.Duration) // Called for each token after the first; may be nil.
	End    func(Stream)            // Called once when the stream ends, unless it was cancelled.

	Cached  int // Tokens of the prompt that came from the prefix cache.
	Tokens  int // Tokens generated so far.
	Failed  bool
	Cold    bool // The backend server was cold when the stream ended.
	Start   time.Time
	First   time.Time // Zero before the first token.
	Last    time.Time
	left    int // Prompt tokens still to be taken in.
	taken   int // Prompt tokens that the current step takes in.
	doomed  bool
	decodes bool // The current step generates a token.
}

// Prefilled returns the prompt tokens computed so far.
func (s *Stream) Prefilled() int { return s.Prompt - s.Cached - s.left }

// Between returns the mean time between tokens, or 0 for fewer than two.
func (s *Stream) Between() time.Duration {
	if s.Tokens < 2 {
		return 0
	}
	return s.Last.Sub(s.First) / time.Duration(s.Tokens-1)
}
