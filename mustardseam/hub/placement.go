package hub

import (
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
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
	Returning   []ReturningRequest `json:"returning,omitempty"` // Requests that were refused and are expected to return.
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
	// Fingerprint identifies the request among those that are expected to return; 0 if the hub expects none, or if the
	// instance knows that it returns.
	Fingerprint uint64 `json:"fingerprint,omitempty"`
	FirstAgeMS  int64  `json:"first-age-ms,omitempty"` // Milliseconds since the first attempt of a request that returns.
	Returned    bool   `json:"returned,omitempty"`     // The request was refused before.
	Resumed     bool   `json:"resumed,omitempty"`      // The request is the rest of an interrupted stream.
}

// ReturningRequest is a request that was refused and is expected to return at any instance. Its times are relative.
type ReturningRequest struct {
	Fingerprint uint64 `json:"fingerprint"`
	AgeMS       int64  `json:"age-ms"`   // Milliseconds since the arrival of the first attempt.
	FromMS      int64  `json:"from-ms"`  // Milliseconds until the request is recognized.
	UntilMS     int64  `json:"until-ms"` // Milliseconds until it is not recognized any more.
}

// Decision is the hub's decision on a placement request: a backend server or a refusal.
type Decision struct {
	ID           int64             `json:"id"`
	Server       fleet.Incarnation `json:"server"`             // Zero for a refusal.
	FirstEventMS int64             `json:"first-ms,omitempty"` // Expected milliseconds until the first event.
	Load         placement.Load    `json:"load"`               // Load of the backend server before this request.
	PlaceLocally bool              `json:"void,omitempty"`     // The instance is to place the request itself.
	Reason       string            `json:"reason,omitempty"`   // Reason for a refusal.
	RetryAfterMS int64             `json:"after-ms,omitempty"` // Milliseconds after which the caller may retry.
	Cause        placement.Cause   `json:"cause,omitempty"`    // Cause of a refusal.
	Returned     bool              `json:"returned,omitempty"` // The refused request had been refused before.
}

// PlacementResponse is the hub's response to a PlacementUpdate.
type PlacementResponse struct {
	Accepted  bool       `json:"known,omitempty"` // The hub places requests for the instance; otherwise it discards them.
	Decisions []Decision `json:"decisions,omitempty"`
	// Returning reports that the hub expects refused requests to return, and so needs the fingerprints of requests.
	Returning bool `json:"returning,omitempty"`
}
