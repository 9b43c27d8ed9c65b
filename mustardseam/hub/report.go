package hub

import (
	"encoding/json"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
	"github.com/mustardseam/mustardseam/mustardseam/ratelimit"
	"github.com/mustardseam/mustardseam/mustardseam/store"
	"github.com/mustardseam/mustardseam/mustardseam/usage"
)

// Report is the message that an instance sends to the hub at each report interval.
type Report struct {
	Instance     string                     `json:"node"`
	Registration fleet.Instance             `json:"from"`            // Registration of the reporting instance, with its address.
	Run          int64                      `json:"run"`             // Distinguishes the runs of an instance.
	Sequence     int64                      `json:"sequence"`        // Increases with each report of a run.
	Revision     int64                      `json:"revision"`        // Store revision of the instance's copy.
	Era          int64                      `json:"era,omitempty"`   // Era of Revision; 0 if the store or the instance names none.
	Complete     bool                       `json:"whole,omitempty"` // Items holds the whole store, not only changes.
	AgeMS        int64                      `json:"age-ms"`          // Age of the instance's copy in milliseconds; -1 without a copy.
	Items        []store.Item               `json:"items,omitempty"`
	Used         map[string]ratelimit.Usage `json:"used,omitempty"`  // Usage by team since the latest report that got a response.
	Loads        map[string]placement.Load  `json:"loads,omitempty"` // Load by ID of the backend server.
	// Demand holds the demand for services whose numbers of backend servers are ordered, counted in this run, by service.
	Demand map[string]Demand `json:"demand,omitempty"`
	// InterTokenMS is the inter-token latency in milliseconds by ID of the backend server, measured since the latest report.
	InterTokenMS map[string]float64  `json:"paces,omitempty"`
	Unreachable  []string            `json:"sick,omitempty"`    // IDs of backend servers that the instance failed to reach.
	Leaving      []fleet.Incarnation `json:"leaving,omitempty"` // Backend servers that announced their shutdown.
	Samples      []Sample            `json:"samples,omitempty"`
	Stopping     bool                `json:"stopping,omitempty"`
	// UsageUnknown reports that the instance has just started and does not know the earlier usage of teams.
	UsageUnknown  bool               `json:"unsettled,omitempty"`
	Levels        map[string]float64 `json:"levels,omitempty"` // Quota level by team, for a hub with UsageUnknown.
	RequestsKnown bool               `json:"placed,omitempty"` // The hub knows the instance's requests from placement updates.
	Limits        []ServerLimit      `json:"limits,omitempty"` // Request limits that backend servers named or withdrew.
	LimitRound    int64              `json:"limit-round"`      // Round of the instances that use backend servers with low limits.
	Crashes       []fleet.Crash      `json:"crashes,omitempty"`
	// CrashSequence is the CrashSequence of the hub's latest response, from its run CrashRun.
	CrashSequence int64 `json:"crash-sequence,omitempty"`
	CrashRun      int64 `json:"crash-run,omitempty"`
	// ClockUS is the time by the instance's own clock in Unix microseconds; 0 without duties, as all fields below.
	ClockUS int64             `json:"clock-us,omitempty"`
	Windows []usage.RunCounts `json:"windows,omitempty"` // Changed counts of usage windows.
	// WindowSequence is the WindowSequence of the hub's latest response, from its run WindowRun.
	WindowSequence int64 `json:"window-sequence,omitempty"`
	WindowRun      int64 `json:"window-run,omitempty"`
	WindowsWanted  bool  `json:"windows-wanted,omitempty"` // The instance needs the counts of all instances.
}

// Sample is the outcome of a request to a service that has a rollout.
type Sample struct {
	Service         string  `json:"service"`
	Route           string  `json:"route"`
	Version         string  `json:"version"`
	OK              bool    `json:"ok"`
	FirstEventRatio float64 `json:"first"` // Time to the first event or byte in hundredths of the usual time; 0 when unknown.
	InterToken      float64 `json:"pace"`  // Inter-token latency in hundredths of a millisecond; 0 when unknown.
	// Cut is the backend server that ended the connection before its answer was complete; empty otherwise.
	Cut fleet.Incarnation `json:"cut,omitzero"`
}

// ReportResponse is the hub's response to a Report.
type ReportResponse struct {
	Hub       string   `json:"hub"`
	Run       int64    `json:"run"`
	Instances []string `json:"nodes"` // Names of the hub and the instances that reported recently.
	// Possible is the number of instances that may be serving callers, including those that are silent; 0 for as many as in
	// Instances.
	Possible     int                        `json:"possible,omitempty"`
	Usage        map[string]ratelimit.Usage `json:"known"`               // Usage by team over all instances since the hub's start.
	UsageUnknown bool                       `json:"unsettled,omitempty"` // The hub has just started; as in Report.
	Levels       map[string]float64         `json:"levels,omitempty"`    // Quota level by team, for an instance with UsageUnknown.
	// Loads is a map of placement.Load by ID of the backend server, over all instances; some responses omit it.
	Loads         json.RawMessage           `json:"loads,omitempty"`
	Demand        map[string]Demand         `json:"demand,omitempty"`  // As in Report, over all instances in this run of the hub.
	InterTokenMS  map[string]float64        `json:"paces,omitempty"`   // As in Report, smoothed over all instances.
	ReporterLoads map[string]placement.Load `json:"own,omitempty"`     // Part of Loads that comes from the reporting instance.
	Unreachable   map[string]int            `json:"sick,omitempty"`    // Number of instances that failed to reach a backend server, by ID.
	Leaving       []fleet.Incarnation       `json:"leaving,omitempty"` // Backend servers that announced their shutdown.
	From          int64                     `json:"from"`              // Store revision after which Items continues.
	Revision      int64                     `json:"revision"`          // Store revision of the hub's copy.
	Era           int64                     `json:"era,omitempty"`     // Era of From and Revision, as in Report.
	AgeMS         int64                     `json:"age-ms"`            // Age of the hub's copy in milliseconds; -1 without a copy.
	DirectMS      int64                     `json:"direct-ms"`         // Milliseconds since the store last responded to the hub; -1 if never.
	Complete      bool                      `json:"whole"`             // Items holds the whole store, not only changes.
	Items         []store.Item              `json:"items,omitempty"`
	Limits        []ServerLimit             `json:"limits,omitempty"` // As in Report.
	LimitRound    int64                     `json:"limit-round"`      // As in Report.
	Crashes       []fleet.Crash             `json:"crashes,omitempty"`
	// CrashSequence is the number of the hub's changes up to which Crashes is complete.
	CrashSequence int64 `json:"crash-sequence,omitempty"`
	// ClockUS is the time that all instances use, in Unix microseconds; 0 if it is not known.
	ClockUS int64             `json:"clock-us,omitempty"`
	Windows []usage.RunCounts `json:"windows,omitempty"` // Changed counts of usage windows of all instances.
	// WindowSequence is the number of the hub's changes up to which Windows is complete; 0 if it holds none.
	WindowSequence int64 `json:"window-sequence,omitempty"`
}
