package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// mixedBoard returns a board that has measured a fast and a slow engine with 4 slots each.
func mixedBoard(svc *fleet.Service) (b *Board, fast, slow *fleet.Server) {
	b = NewBoard(BoardConfig{Random: func() float64 { return 0.9 }})
	fast = &fleet.Server{ID: "fast", Service: svc.Name, DataCentre: "a", Slots: 4}
	slow = &fleet.Server{ID: "slow", Service: svc.Name, DataCentre: "a", Slots: 4}
	for range 50 {
		b.RecordInterToken(svc, fast, 5*time.Millisecond)
		b.RecordInterToken(svc, fast, 5*time.Millisecond)
		b.RecordInterToken(svc, slow, 20*time.Millisecond)
	}
	return b, fast, slow
}

// TestWaitsForOther guards against requests that are late at a slow engine, or make its streams late, although they could wait
// for a faster one, and against requests that wait for nothing.
func TestWaitsForOther(t *testing.T) {
	svc := &fleet.Service{Name: "engines", Engine: true, TokensPerEvent: 4}
	tests := []struct {
		name    string
		prompt  int
		waited  time.Duration
		gap     time.Duration
		running int // Requests at the slow engine.
		want    bool
	}{
		{"short prompt beside streams", 400, 0, 200 * time.Millisecond, 2, false},
		{"long prompt beside streams", 4000, 0, 200 * time.Millisecond, 2, true},
		{"long prompt alone", 4000, 0, 200 * time.Millisecond, 0, false},
		{"long prompt beside streams that bear it", 4000, 0, time.Second, 2, false},
		{"too long for the objective there", 20_000, 0, time.Second, 0, true},
		{"too late everywhere", 20_000, 600 * time.Millisecond, time.Second, 0, false},
		{"caller disconnects before the first event there", 80_000, 0, 200 * time.Millisecond, 0, true},
		{"no streams", 4000, 0, 0, 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b, _, slow := mixedBoard(svc)
			arrived := start.Add(-test.waited)
			j := &Job{
				Route: "r", PromptTokens: test.prompt, Gap: test.gap, Arrived: arrived, DataCentre: "a",
				Objective: arrived.Add(800 * time.Millisecond), Deadline: arrived.Add(10 * time.Second),
			}
			for range test.running {
				b.Start(start, slow, &Job{Gap: test.gap})
			}
			assert.Equal(t, b.WaitsForOther(start, svc, slow, j), test.want)
		})
	}
}

// TestNoQueueAtSlowEngine guards against requests that wait several times as long in the queue of a slow engine as for the next
// free slot of another one.
func TestNoQueueAtSlowEngine(t *testing.T) {
	svc := &fleet.Service{Name: "engines", Engine: true, TokensPerEvent: 4}
	b, fast, slow := mixedBoard(svc)
	c := Candidates{Service: svc, Servers: []*fleet.Server{fast, slow}}
	for range 4 {
		b.Start(start, fast, &Job{})
		b.Start(start, slow, &Job{})
	}
	j := job(100, 10)
	assert.Equal(t, b.Choose(start, c, j, 2, true), fast)
	b.Start(start, fast, &Job{})
	b.Start(start, fast, &Job{})
	assert.Assert(t, b.Choose(start, c, j, 2, true) == nil)
}
