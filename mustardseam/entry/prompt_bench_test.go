package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
	"github.com/mustardseam/mustardseam/mustardseam/promptcache"
)

// benchmarkServePrompt is benchmarkServe with engines whose memory is known and requests with parts. A quarter of the requests
// share their first part, the others share theirs with one in 50.
func benchmarkServePrompt(b *testing.B, servers int) {
	config := fleet.NewConfig(1, nil, []fleet.Service{{
		Name: "pool", Engine: true, TokensPerEvent: 4, KVCapacity: 200_000,
	}}, nil, fleet.Limits{})
	v := fleet.NewView().With(fleet.Change{Config: config})
	for i := range servers {
		v = v.With(fleet.Change{Server: &fleet.Server{ID: fmt.Sprintf("s%d", i), Service: "pool", Slots: 5}})
	}
	s := newScheduler(schedulerConfig{instance: "hub", view: func() *fleet.View { return v }})
	const cores = 1e6 // Keeps the message rate from being limited.
	s.HandleUpdate(hub.PlacementUpdate{Instance: "n0", Run: 1, Sequence: 1, Complete: true}, cores)
	for i := int64(2); b.Loop(); i++ {
		shared := uint64(1)
		if i%4 > 0 {
			shared = uint64(2 + i%50)
		}
		s.HandleUpdate(hub.PlacementUpdate{
			Instance: "n0", Run: 1, Sequence: i,
			FirstEvents: []hub.FirstEvent{{ID: i - 2, FirstEventUS: time.Second.Microseconds()}},
			Completed: []hub.CompletedRequest{{ID: i - 3, Outcome: placement.Outcome{
				Answered: true, OK: true, FirstEvent: true,
			}}},
			Requests: []hub.PlacementRequest{{
				ID: i, Service: "pool", Route: "r", Team: "t", PromptTokens: 3000, MaxOutputTokens: 1200, GapMS: 300,
				ObjectiveMS: 1000, DeadlineMS: 10_000,
				Prompt: promptcache.Prompt{{ID: shared, Tokens: 1000}, {ID: 1000 + shared, Tokens: 1000}, {ID: uint64(1_000_000 + i), Tokens: 1000}},
			}},
		}, cores)
	}
}

func BenchmarkServePrompt140(b *testing.B)  { benchmarkServePrompt(b, 140) }
func BenchmarkServePrompt2400(b *testing.B) { benchmarkServePrompt(b, 2400) }
