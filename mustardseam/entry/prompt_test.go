package entry

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
	"github.com/mustardseam/mustardseam/mustardseam/promptcache"
)

// promptView returns a view with a service of eight engines whose memory is known, and one without engines.
func promptView() *fleet.View {
	v := fleet.NewView().With(fleet.Change{Config: fleet.NewConfig(1, nil, []fleet.Service{
		{Name: "pool", Engine: true, TokensPerEvent: 4, KVCapacity: 50_000},
		{Name: "unknown-memory", Engine: true, TokensPerEvent: 4},
		{Name: "orders", KVCapacity: 50_000},
	}, nil, fleet.Limits{})})
	for i := range 8 {
		v = v.With(fleet.Change{Server: &fleet.Server{ID: fmt.Sprintf("s%d", i), Service: "pool", Slots: 4}})
	}
	return v
}

var sharedPrompt = promptcache.Prompt{{ID: 1, Tokens: 2000}, {ID: 2, Tokens: 400}}

// promptRequest returns a placement request with a number of the parts of sharedPrompt and one of its own.
func promptRequest(id int64, shared int) hub.PlacementRequest {
	p := append(promptcache.Prompt{}, sharedPrompt[:shared]...)
	p = append(p, promptcache.Part{ID: uint64(1000 + id), Tokens: 100})
	return hub.PlacementRequest{
		ID: id, Service: "pool", Route: "r", PromptTokens: p.Tokens(), MaxOutputTokens: 100, GapMS: 300, ObjectiveMS: 1000,
		DeadlineMS: 10_000, Prompt: p,
	}
}

// sendUpdate sends an update to a hub as JSON, as between two processes.
func sendUpdate(t *testing.T, s *Scheduler, u hub.PlacementUpdate) hub.PlacementResponse {
	t.Helper()
	b, err := json.Marshal(u)
	assert.NilError(t, err)
	var received hub.PlacementUpdate
	assert.NilError(t, json.Unmarshal(b, &received))
	response := s.HandleUpdate(received, 1e6)
	assert.Assert(t, response.Accepted)
	b, err = json.Marshal(response)
	assert.NilError(t, err)
	response = hub.PlacementResponse{}
	assert.NilError(t, json.Unmarshal(b, &response))
	return response
}

// TestHubKnowsPromptsOfAllInstances guards against a hub that places a request without regard to the prompts that engines have read
// for other instances, whether it or the instance placed them.
func TestHubKnowsPromptsOfAllInstances(t *testing.T) {
	tests := []struct {
		name   string
		update func(t *testing.T, s *Scheduler) (server string)
		kept   int
	}{
		{"placed by the hub", func(t *testing.T, s *Scheduler) string {
			d := sendUpdate(t, s, hub.PlacementUpdate{
				Instance: "n0", Run: 1, Sequence: 1, Complete: true, Requests: []hub.PlacementRequest{promptRequest(1, 2)},
			}).Decisions
			assert.Equal(t, d[0].Kept, 0)
			sendUpdate(t, s, hub.PlacementUpdate{Instance: "n0", Run: 1, Sequence: 2, FirstEvents: []hub.FirstEvent{{ID: 1, FirstEventUS: 50_000}}})
			sendUpdate(t, s, hub.PlacementUpdate{Instance: "n0", Run: 1, Sequence: 3, Completed: []hub.CompletedRequest{
				{ID: 1, Outcome: placement.Outcome{Answered: true, OK: true, FirstEvent: true}},
			}})
			return d[0].Server.ID
		}, 2400},
		{"placed by the instance", func(t *testing.T, s *Scheduler) string {
			running := hub.PlacedRequest{ID: 1, Server: fleet.Incarnation{ID: "s5"}, Route: "r", PromptTokens: 2400, Prompt: sharedPrompt}
			sendUpdate(t, s, hub.PlacementUpdate{Instance: "n0", Run: 1, Sequence: 1, Complete: true})
			sendUpdate(t, s, hub.PlacementUpdate{Instance: "n0", Run: 1, Sequence: 2, Running: []hub.PlacedRequest{running}})
			sendUpdate(t, s, hub.PlacementUpdate{Instance: "n0", Run: 1, Sequence: 3, FirstEvents: []hub.FirstEvent{{ID: 1, FirstEventUS: 50_000}}})
			return "s5"
		}, 2400},
		{"running when the hub took over", func(t *testing.T, s *Scheduler) string {
			running := hub.PlacedRequest{ID: 1, Server: fleet.Incarnation{ID: "s3"}, Route: "r", Prompt: sharedPrompt}
			sendUpdate(t, s, hub.PlacementUpdate{Instance: "n0", Run: 1, Sequence: 1, Complete: true, Running: []hub.PlacedRequest{running}})
			return "s3"
		}, 2400},
		{"not read yet", func(t *testing.T, s *Scheduler) string {
			running := hub.PlacedRequest{ID: 1, Server: fleet.Incarnation{ID: "s3"}, Route: "r", PromptTokens: 2400, Prompt: sharedPrompt}
			sendUpdate(t, s, hub.PlacementUpdate{Instance: "n0", Run: 1, Sequence: 1, Complete: true, Running: []hub.PlacedRequest{running}})
			return ""
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := promptView()
			s := newScheduler(schedulerConfig{instance: "hub", view: func() *fleet.View { return v }})
			server := test.update(t, s)
			d := sendUpdate(t, s, hub.PlacementUpdate{
				Instance: "n1", Run: 9, Sequence: 1, Complete: true, Requests: []hub.PlacementRequest{promptRequest(7, 2)},
			}).Decisions
			assert.Equal(t, d[0].Kept, test.kept)
			if server != "" {
				assert.Equal(t, d[0].Server.ID, server)
			}
		})
	}
}

// TestDecisionOfHubTellsKeptTokens guards against an instance that counts tokens as unread which the hub knows to be kept.
func TestDecisionOfHubTellsKeptTokens(t *testing.T) {
	v := promptView()
	s := newScheduler(schedulerConfig{instance: "n0", view: func() *fleet.View { return v }})
	now := time.Now()
	j := &placement.Job{
		Route: "r", PromptTokens: 2400, MaxOutputTokens: 100, Arrived: now, Objective: now.Add(time.Second),
		Deadline: now.Add(time.Minute), Prompt: sharedPrompt,
	}
	g := s.accept(v.Config.Service("pool"), j, hub.Decision{Server: fleet.Incarnation{ID: "s1"}, Kept: 2000})
	assert.Equal(t, j.UnreadTokens(), 400)
	assert.Equal(t, s.board.Load(g.Server), placement.Load{Requests: 1, PromptTokens: 400})
	s.Finish(g, placement.Outcome{Abandoned: true})
	assert.Equal(t, s.board.Load(g.Server), placement.Load{})
}

// TestSwitchOfPromptParts guards against parts that are used where they are switched off or say nothing.
func TestSwitchOfPromptParts(t *testing.T) {
	tests := []struct {
		name, service string
		ignore        bool
		parts         int
	}{
		{"used", "pool", false, 2},
		{"ignored", "pool", true, 0},
		{"memory not known", "unknown-memory", false, 0},
		{"no engines", "orders", false, 0},
		{"no such service", "gone", false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			i := &Instance{cfg: Config{IgnorePrompts: test.ignore}}
			req := &request{view: promptView(), service: test.service, meta: RequestMeta{Prompt: sharedPrompt}}
			assert.Equal(t, len(i.placedPrompt(req)), test.parts)
		})
	}
}

// TestPromptMetrics guards against counters that include requests without parts.
func TestPromptMetrics(t *testing.T) {
	set := metrics.NewSet()
	m := newPromptMetrics(set, newScheduler(schedulerConfig{instance: "n0", view: promptView}))
	for _, g := range []*Grant{
		{job: &placement.Job{PromptTokens: 500}},
		{job: &placement.Job{PromptTokens: 2400, Prompt: sharedPrompt}},
		{job: &placement.Job{PromptTokens: 2400, Prompt: sharedPrompt, Kept: 2000}},
		{job: &placement.Job{PromptTokens: 2400, Prompt: sharedPrompt, Kept: 2400}, Hub: "n1"},
	} {
		m.requestPlaced(g)
	}
	var text strings.Builder
	set.WritePrometheus(&text)
	for _, line := range []string{
		"mustardseam_prompt_placed_total 3", "mustardseam_prompt_placed_on_prefix_total 2", "mustardseam_prompt_tokens_total 7200",
		`mustardseam_prompt_tokens_kept_total{by="hub"} 2400`, `mustardseam_prompt_tokens_kept_total{by="itself"} 2000`, "mustardseam_prompt_parts_kept 0",
	} {
		assert.Assert(t, strings.Contains(text.String(), line+"\n"), "%s in %s", line, text.String())
	}
}
