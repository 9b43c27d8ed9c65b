package hub

import (
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

// News is what an instance tells the hub of its requests to engines, and which of them the hub is to place.
type News struct {
	Node      string    `json:"node"`
	Run       int64     `json:"run"`
	Sequence  int64     `json:"sequence"`            // Rises with each message of a run that is not a wait.
	Fresh     bool      `json:"fresh,omitempty"`     // Running holds all there are; what the hub knew of the instance is void.
	Running   []Running `json:"running,omitempty"`   // Requests that the instance placed itself.
	Began     []Began   `json:"began,omitempty"`     // Requests whose first event has come.
	Ended     []Ended   `json:"ended,omitempty"`     // Requests that ended.
	Asks      []Ask     `json:"asks,omitempty"`      // Requests to place.
	Withdrawn []int64   `json:"withdrawn,omitempty"` // Asks that are void.
	WaitMS    int64     `json:"wait-ms,omitempty"`   // How long the answer may wait for a decision; the message says nothing else.
}

// Running is a request at a backend server.
type Running struct {
	ID     int64             `json:"id"` // Of the request, within a run of the instance.
	Server fleet.Incarnation `json:"server"`
	Team   string            `json:"team,omitempty"`
	Route  string            `json:"route"`
	Prompt int               `json:"prompt,omitempty"` // Tokens that are not read yet.
}

// Began is the first event of a request.
type Began struct {
	ID      int64 `json:"id"`
	FirstUS int64 `json:"first-us"` // From the sending, in microseconds.
}

// Ended is the end of a request.
type Ended struct {
	ID      int64         `json:"id"`
	Outcome place.Outcome `json:"outcome"`
}

// Ask is a request that waits for a backend server. Its times are relative, since the clocks of instances differ.
type Ask struct {
	ID          int64               `json:"id"`
	Service     string              `json:"service"`
	Route       string              `json:"route"`
	Team        string              `json:"team,omitempty"`
	Tier        int                 `json:"tier"`
	Rank        int                 `json:"rank"`
	DataCentre  string              `json:"data-centre"`
	Prompt      int                 `json:"prompt,omitempty"`
	Output      int                 `json:"output,omitempty"`
	Hint        int                 `json:"hint,omitempty"`
	GapMS       int64               `json:"gap-ms,omitempty"`
	AgeMS       int64               `json:"age-ms"`
	ObjectiveMS int64               `json:"objective-ms"` // Until the objective, from now on; negative when it has passed.
	DeadlineMS  int64               `json:"deadline-ms"`
	Tried       []fleet.Incarnation `json:"tried,omitempty"`
}

// Decision is what became of an ask: a backend server, or a refusal.
type Decision struct {
	ID      int64             `json:"id"`
	Server  fleet.Incarnation `json:"server"` // Empty for a refusal.
	FirstMS int64             `json:"first-ms,omitempty"`
	Load    place.Load        `json:"load"`             // Of the backend server before.
	Void    bool              `json:"void,omitempty"`   // The instance is to place the request itself.
	Reason  string            `json:"reason,omitempty"` // Of a refusal.
	AfterMS int64             `json:"after-ms,omitempty"`
}

// Decisions is the hub's answer to news.
type Decisions struct {
	Known     bool       `json:"known,omitempty"` // The hub places for the instance; otherwise the asks are void.
	Decisions []Decision `json:"decisions,omitempty"`
}
