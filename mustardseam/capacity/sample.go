package capacity

import "time"

// Sample is what the end of a request says of the backend server that ran it.
type Sample struct {
	Granted  time.Time // When the request was dispatched.
	OK       bool      // It was answered in full.
	Failed   bool      // The backend server failed or refused it.
	Cold     bool      // The backend server said that it is cold.
	Lingers  bool      // The backend server may still be running it.
	Uncached int       // Prompt tokens that were computed.
	Output   int       // Tokens generated.
	First    time.Duration
	Between  time.Duration
}
