package capacity

import "time"

// Sample is what the end of a request says of the backend server that ran it.
type Sample struct {
	Granted  time.Time // When the request was dispatched.
	OK       bool      // It was answered in full.
	Failed   bool      // The backend server failed or refused it.
	NotRun   bool      // It certainly was not run.
	Cold     bool      // The backend server said that it is cold.
	Broke    bool      // The backend server broke off a request that it had begun.
	MayRun   bool      // The backend server may still be running it.
	Uncached int       // Prompt tokens that were computed.
	Ahead    int       // Prompt tokens that the server probably had to compute before those.
	Output   int       // Tokens generated.
	First    time.Duration
	Between  time.Duration
}

// prefill returns the prompt tokens that were computed until the first token of the answer.
func (s Sample) prefill() float64 { return float64(s.Uncached + s.Ahead) }
