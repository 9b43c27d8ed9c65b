package pool

import "time"

// Result is the way in which a granted request ended.
type Result string

// Results of a granted request.
const (
	OK         Result = "ok"
	Failed     Result = "failed"     // The backend server ran the request and failed.
	Cancelled  Result = "cancelled"  // The caller abandoned the request.
	NotRun     Result = "not-run"    // The request certainly did not run.
	Incomplete Result = "incomplete" // The answer broke off and could not be resumed.
	Unknown    Result = "unknown"    // It is unknown whether the request ran.
)

// Outcome is an entry instance's report of how a granted request ended.
type Outcome struct {
	AskID        string        `json:"ask"`
	Result       Result        `json:"result"`
	PromptTokens int           `json:"prompt"`           // Prompt tokens, computed or read from the prefix cache.
	CachedTokens int           `json:"cached"`           // Prompt tokens read from the prefix cache.
	OutputTokens int           `json:"output"`           // Output tokens.
	FirstToken   time.Duration `json:"first"`            // Time from dispatch to the first token, in nanoseconds.
	InterToken   time.Duration `json:"between"`          // Mean time between tokens, in nanoseconds.
	Cold         bool          `json:"cold"`             // Whether the backend server answered that it is in cold start.
	PermitUnused bool          `json:"unused,omitempty"` // The permit was not used: nothing is known of the server.
	Status       int           `json:"status"`           // HTTP status of the backend server; 0 if there was no response.
}
