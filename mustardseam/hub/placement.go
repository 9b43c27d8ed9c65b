package hub

import (
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
	"github.com/mustardseam/mustardseam/mustardseam/promptcache"
)

// PlacementUpdate is an update on an instance's requests to engines, with the requests that the hub is to place.
type PlacementUpdate struct {
	Instance    string             `json:"node"`
	Run         int64              `json:"run"`
	Sequence    int64              `json:"sequence"`            // Increases with each message of a run, except those that only wait.
	Complete    bool               `json:"fresh,omitempty"`     // Running is the full list and replaces what the hub knew.
	Running     []PlacedRequest    `json:"running,omitempty"`   // Requests that the instance placed itself.
	FirstEvents []FirstEvent       `json:"began,omitempty"`     // Requests whose first event has come.
	Completed   []CompletedRequest `json:"ended,omitempty"`     // Requests that ended.
	Requests    []PlacementRequest `json:"asks,omitempty"`      // Requests to place.
	Cancelled   []int64            `json:"withdrawn,omitempty"` // IDs of placement requests that are cancelled.
	// WaitMS is the time in milliseconds that the response may wait for a decision. If it is set, the message contains no
	// update.
	WaitMS int64 `json:"wait-ms,omitempty"`
}

// PlacedRequest is a request that was sent to a backend server.
type PlacedRequest struct {
	ID           int64             `json:"id"` // Request ID, unique within a run of the instance.
	Server       fleet.Incarnation `json:"server"`
	Team         string            `json:"team,omitempty"`
	Route        string            `json:"route"`
	PromptTokens int               `json:"prompt,omitempty"` // Prompt tokens that the engine has not processed yet.
	// Prompt holds the parts of the prompt. The engine has read them if PromptTokens is 0.
	Prompt promptcache.Prompt `json:"parts,omitempty"`
}

// FirstEvent reports the first event of a request's response.
type FirstEvent struct {
	ID           int64 `json:"id"`
	FirstEventUS int64 `json:"first-us"` // Microseconds from the sending of the request.
}

// CompletedRequest reports the end of a request.
type CompletedRequest struct {
	ID      int64             `json:"id"`
	Outcome placement.Outcome `json:"outcome"`
}

// PlacementRequest is a request that waits for a backend server. Its times are relative, since the clocks of instances differ.
type PlacementRequest struct {
	ID              int64               `json:"id"`
	Service         string              `json:"service"`
	Route           string              `json:"route"`
	Team            string              `json:"team,omitempty"`
	Tier            int                 `json:"tier"`             // Priority tier; 0 is served first.
	Rank            int                 `json:"rank"`             // Tier of the route, which orders requests of one tier.
	DataCentre      string              `json:"data-centre"`      // Data centre of the instance.
	PromptTokens    int                 `json:"prompt,omitempty"` // Number of prompt tokens.
	MaxOutputTokens int                 `json:"output,omitempty"` // Maximum number of output tokens.
	OutputHint      int                 `json:"hint,omitempty"`   // Number of output tokens expected by the caller; 0 when unknown.
	GapMS           int64               `json:"gap-ms,omitempty"` // Target maximum pause between events; 0 for none.
	AgeMS           int64               `json:"age-ms"`           // Milliseconds since the arrival of the request.
	ObjectiveMS     int64               `json:"objective-ms"`     // Milliseconds left until the objective; negative after it.
	DeadlineMS      int64               `json:"deadline-ms"`      // Milliseconds left until the deadline.
	Tried           []fleet.Incarnation `json:"tried,omitempty"`  // Backend servers that must not be chosen again.
	Prompt          promptcache.Prompt  `json:"parts,omitempty"`  // Parts of the prompt.
}

// Decision is the hub's decision on a placement request: a backend server or a refusal.
type Decision struct {
	ID           int64             `json:"id"`
	Server       fleet.Incarnation `json:"server"`             // Zero for a refusal.
	FirstEventMS int64             `json:"first-ms,omitempty"` // Expected milliseconds until the first event.
	Load         placement.Load    `json:"load"`               // Load of the backend server before this request.
	Kept         int               `json:"kept,omitempty"`     // Prompt tokens that the backend server is expected to keep.
	PlaceLocally bool              `json:"void,omitempty"`     // The instance is to place the request itself.
	Reason       string            `json:"reason,omitempty"`   // Reason for a refusal.
	RetryAfterMS int64             `json:"after-ms,omitempty"` // Milliseconds after which the caller may retry.
}

// PlacementResponse is the hub's response to a PlacementUpdate.
type PlacementResponse struct {
	Accepted  bool       `json:"known,omitempty"` // The hub places requests for the instance; otherwise it discards them.
	Decisions []Decision `json:"decisions,omitempty"`
}
