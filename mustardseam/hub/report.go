package hub

import (
	"encoding/json"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/place"
	"github.com/mustardseam/mustardseam/mustardseam/share"
	"github.com/mustardseam/mustardseam/mustardseam/store"
)

// Report is what an instance tells the hub.
type Report struct {
	Node     string                `json:"node"`
	From     fleet.Node            `json:"from"`     // How to reach the instance.
	Run      int64                 `json:"run"`      // Tells the runs of an instance apart.
	Sequence int64                 `json:"sequence"` // Rises with each report of a run.
	Revision int64                 `json:"revision"` // Of the copy of the store.
	AgeMS    int64                 `json:"age-ms"`   // Of the copy of the store; -1 without one.
	Items    []store.Item          `json:"items,omitempty"`
	Used     map[string]share.Use  `json:"used,omitempty"`    // By team since the latest report that was answered.
	Loads    map[string]place.Load `json:"loads,omitempty"`   // By id of the backend server.
	Paces    map[string]float64    `json:"paces,omitempty"`   // Milliseconds from token to token, measured since the latest report.
	Sick     []string              `json:"sick,omitempty"`    // Ids of backend servers that failed contacts.
	Leaving  []fleet.Incarnation   `json:"leaving,omitempty"` // Backend servers that said that they leave.
	Samples  []Sample              `json:"samples,omitempty"`
	Stopping bool                  `json:"stopping,omitempty"`
	// Unsettled says that the instance has just started and does not know what teams used before.
	Unsettled bool               `json:"unsettled,omitempty"`
	Levels    map[string]float64 `json:"levels,omitempty"` // Of quotas, for a hub that is unsettled.
	Placed    bool               `json:"placed,omitempty"` // The hub knows the requests of the instance from its news.
}

// Sample is the outcome of a request to a service with a rollout.
type Sample struct {
	Service string  `json:"service"`
	Route   string  `json:"route"`
	Version string  `json:"version"`
	OK      bool    `json:"ok"`
	First   float64 `json:"first"` // Time to the first event or byte in hundredths of what is usual; 0 when unknown.
	Pace    float64 `json:"pace"`  // From token to token, in hundredths of a millisecond; 0 when unknown.
}

// Digest is what the hub answers.
type Digest struct {
	Hub       string                `json:"hub"`
	Run       int64                 `json:"run"`
	Nodes     []string              `json:"nodes"`               // Instances that reported lately, the hub included.
	Known     map[string]share.Use  `json:"known"`               // By team, over all instances, since the hub's start.
	Unsettled bool                  `json:"unsettled,omitempty"` // As in reports.
	Levels    map[string]float64    `json:"levels,omitempty"`    // Of quotas, for an instance that is unsettled.
	Loads     json.RawMessage       `json:"loads,omitempty"`     // A map of place.Load by backend server, over all instances; not always told.
	Paces     map[string]float64    `json:"paces,omitempty"`
	Own       map[string]place.Load `json:"own,omitempty"`     // What Loads holds of the instance that reported.
	Sick      map[string]int        `json:"sick,omitempty"`    // Instances that failed to reach a backend server.
	Leaving   []fleet.Incarnation   `json:"leaving,omitempty"` // As in reports.
	From      int64                 `json:"from"`              // Revision that the items follow.
	Revision  int64                 `json:"revision"`
	AgeMS     int64                 `json:"age-ms"`
	DirectMS  int64                 `json:"direct-ms"` // Since the store answered the hub itself; -1 if never.
	Whole     bool                  `json:"whole"`     // The items are all there are.
	Items     []store.Item          `json:"items,omitempty"`
}
