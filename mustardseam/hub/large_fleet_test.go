package hub

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/jsonsize"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
	"github.com/mustardseam/mustardseam/mustardseam/promptcache"
	"github.com/mustardseam/mustardseam/mustardseam/ratelimit"
	"github.com/mustardseam/mustardseam/mustardseam/store"
	"github.com/mustardseam/mustardseam/mustardseam/usage"
)

// Sizes of a large fleet.
const (
	largeInstances = 350
	largeServers   = 2400
	largeTeams     = 100
	largeRunning   = 1000 // Requests that one instance has placed.
)

// largeReportResponse returns a response with everything that a hub of a large fleet may have to tell.
func largeReportResponse(t *testing.T) ReportResponse {
	t.Helper()
	r := ReportResponse{
		Usage: map[string]ratelimit.Usage{}, Levels: map[string]float64{}, Demand: map[string]Demand{}, InterTokenMS: map[string]float64{},
		ReporterLoads: map[string]placement.Load{}, Unreachable: map[string]int{},
	}
	loads := map[string]placement.Load{}
	for n := range largeServers {
		id := fmt.Sprintf("server-%d", n)
		server := fleet.Incarnation{ID: id}
		loads[id] = placement.Load{Requests: n, PromptTokens: n}
		r.InterTokenMS[id], r.Unreachable[id] = 1, 1
		r.ReporterLoads[id] = loads[id]
		r.Leaving = append(r.Leaving, server)
		r.Limits = append(r.Limits, ServerLimit{Server: server})
		r.Items = append(r.Items, store.Item{Key: "servers/" + id, Value: make([]byte, 150), Revision: 1, Era: 1})
	}
	teams, counts := map[string]int64{}, map[int64]map[string]int64{}
	for n := range largeTeams {
		team := fmt.Sprintf("team-%d", n)
		r.Usage[team], r.Levels[team], r.Demand[team] = ratelimit.Usage{}, 1, Demand{}
		teams[team] = 1
	}
	for window := range int64(3) {
		counts[window] = teams
	}
	for n := range largeInstances {
		name := fmt.Sprintf("instance-%d", n)
		r.Instances = append(r.Instances, name)
		r.Windows = append(r.Windows, usage.RunCounts{Instance: name, Windows: counts})
		r.Items = append(r.Items, store.Item{Key: "instances/" + name, Value: make([]byte, 100), Revision: 1, Era: 1})
	}
	var err error
	r.Loads, err = json.Marshal(loads)
	assert.NilError(t, err)
	return r
}

// largePlacementUpdate returns an update with all requests of an instance.
func largePlacementUpdate() PlacementUpdate {
	u := PlacementUpdate{Instance: "n1", Complete: true}
	prompt := make(promptcache.Prompt, 8)
	for n := range int64(largeRunning) {
		u.Running = append(u.Running, PlacedRequest{ID: n, Server: fleet.Incarnation{ID: "server"}, Prompt: prompt})
		u.Requests = append(u.Requests, PlacementRequest{ID: n, Tried: make([]fleet.Incarnation, 2), Prompt: prompt})
		u.FirstEvents = append(u.FirstEvents, FirstEvent{ID: n})
		u.Completed = append(u.Completed, CompletedRequest{ID: n})
	}
	return u
}

// TestMessagesOfLargeFleetAreAccepted guards against limits of messages that a large fleet exceeds.
func TestMessagesOfLargeFleetAreAccepted(t *testing.T) {
	report := Report{Instance: "n1", Loads: map[string]placement.Load{}, InterTokenMS: map[string]float64{}, Used: map[string]ratelimit.Usage{}}
	response := largeReportResponse(t)
	report.Items, report.Loads, report.Used, report.InterTokenMS = response.Items, response.ReporterLoads, response.Usage, response.InterTokenMS
	for range 1000 {
		report.Samples = append(report.Samples, Sample{Service: "s", Route: "r", Version: "v"})
		report.Crashes = append(report.Crashes, fleet.Crash{Parts: []string{"a", "b", "c"}})
	}
	tests := []struct {
		name    string
		message any
	}{
		{"report", report},
		{"response", response},
		{"update", largePlacementUpdate()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text, err := json.Marshal(test.message)
			assert.NilError(t, err)
			size := jsonsize.Decoded(text)
			t.Logf("%d bytes, %d when decoded", len(text), size)
			assert.Assert(t, len(text) <= maxBodyBytes)
			assert.Assert(t, size <= jsonsize.MaxDecoded)
		})
	}
}
