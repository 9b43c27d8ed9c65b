package pool

import "time"

// Result says how a granted request ended.
type Result string

// The results of a granted request.
const (
	OK         Result = "ok"
	Failed     Result = "failed"     // The backend server ran it and failed.
	Cancelled  Result = "cancelled"  // The caller went away.
	NotRun     Result = "not-run"    // It certainly did not run.
	Incomplete Result = "incomplete" // The answer broke off and could not be resumed.
	Unknown    Result = "unknown"    // It may or may not have run.
)

// Outcome is the report of an entry instance on a granted request.
type Outcome struct {
	Ask     string        `json:"ask"`
	Result  Result        `json:"result"`
	Prompt  int           `json:"prompt"`           // Tokens prefilled or read from the cache.
	Cached  int           `json:"cached"`           // Tokens of the prompt that came from the prefix cache.
	Output  int           `json:"output"`           // Tokens generated.
	First   time.Duration `json:"first"`            // From dispatch to the first token.
	Between time.Duration `json:"between"`          // Mean time between tokens.
	Cold    bool          `json:"cold"`             // The backend server answered that it is cold.
	Unused  bool          `json:"unused,omitempty"` // The permit was not used, so the outcome says nothing of the server.
	Status  int           `json:"status"`           // HTTP status of the backend server; 0 when there was none.
}
