package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

var (
	start         = time.Unix(1000, 0)
	engineService = &fleet.Service{Name: "pool", Engine: true, TokensPerEvent: 4}
	plainService  = &fleet.Service{Name: "orders"}
)

// server returns a backend server of engineService with four slots in data centre a.
func server(id string) *fleet.Server {
	return &fleet.Server{ID: id, Service: "pool", DataCentre: "a", Slots: 4}
}

// job returns a job that arrives at start in data centre a, with an objective of 1 s and a deadline of 10 s.
func job(prompt, output int) *Job {
	return &Job{
		DataCentre: "a", PromptTokens: prompt, MaxOutputTokens: output, Gap: 500 * time.Millisecond, Arrived: start,
		Objective: start.Add(time.Second), Deadline: start.Add(10 * time.Second),
	}
}

// TestChooseSkipsUnsuitableServers guards against requests to backend servers that are full, slow, avoided or were
// already tried.
func TestChooseSkipsUnsuitableServers(t *testing.T) {
	tests := []struct {
		name       string
		service    *fleet.Service
		prepare    func(b *Board, s []*fleet.Server)
		job        func() *Job
		queueDepth int
		want       string // Id of the chosen backend server; empty if none has room.
	}{
		{"full", engineService, func(b *Board, _ []*fleet.Server) {
			b.SetOtherLoads(map[string]Load{"s0": {Requests: 4}})
		}, func() *Job { return job(1000, 100) }, 0, "s1"},
		{"all full", engineService, func(b *Board, _ []*fleet.Server) {
			b.SetOtherLoads(map[string]Load{"s0": {Requests: 4}, "s1": {Requests: 5}})
		}, func() *Job { return job(1000, 100) }, 0, ""},
		{"queue of the backend server", engineService, func(b *Board, _ []*fleet.Server) {
			b.SetOtherLoads(map[string]Load{"s0": {Requests: 4}, "s1": {Requests: 5}})
		}, func() *Job { return job(1000, 100) }, 1, "s0"},
		{"slow", engineService, func(b *Board, _ []*fleet.Server) {
			b.SeedInterToken(map[string]float64{"s0": 20, "s1": 4})
			b.model("pool").interToken.add(8)
		}, func() *Job { return job(1000, 100) }, 0, "s1"},
		{"prompts ahead", engineService, func(b *Board, _ []*fleet.Server) {
			b.SetOtherLoads(map[string]Load{"s0": {Requests: 1, PromptTokens: 50000}, "s1": {Requests: 2}})
		}, func() *Job { return job(1000, 100) }, 0, "s1"},
		{"avoided", engineService, func(b *Board, s []*fleet.Server) {
			j := job(10, 10)
			b.Start(start, s[0], j)
			b.Finish(start, engineService, s[0], j, Outcome{})
		}, func() *Job { return job(1000, 100) }, 0, "s1"},
		{"all avoided", plainService, func(b *Board, s []*fleet.Server) {
			for _, srv := range s {
				j := job(0, 0)
				b.Start(start, srv, j)
				b.Finish(start, plainService, srv, j, Outcome{})
			}
			b.SetOtherLoads(map[string]Load{"s0": {Requests: 7}})
		}, func() *Job { return job(0, 0) }, 0, "s1"},
		{"avoided beside full", engineService, func(b *Board, s []*fleet.Server) {
			// A crashed backend server has no load. Requests must wait for the full one instead of failing at the crashed one.
			j := job(10, 10)
			b.Start(start, s[0], j)
			b.Finish(start, engineService, s[0], j, Outcome{})
			b.SetOtherLoads(map[string]Load{"s1": {Requests: 4}})
		}, func() *Job { return job(1000, 100) }, 0, ""},
		{"avoided by reports of others", engineService, func(b *Board, _ []*fleet.Server) {
			b.ApplyReportedUnreachable(start, map[string]int{"s0": 1}, start.Add(time.Second))
		}, func() *Job { return job(1000, 100) }, 0, "s1"},
		{"refused", engineService, func(b *Board, s []*fleet.Server) {
			j := job(10, 10)
			b.Start(start, s[0], j)
			b.Finish(start, engineService, s[0], j, Outcome{NotRun: true})
		}, func() *Job { return job(1000, 100) }, 0, "s1"},
		{"tried", engineService, func(*Board, []*fleet.Server) {}, func() *Job {
			j := job(1000, 100)
			j.Tried = []fleet.Incarnation{{ID: "s0"}}
			return j
		}, 0, "s1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewBoard(BoardConfig{Random: func() float64 { return 1 }, Self: "n"})
			servers := []*fleet.Server{server("s0"), server("s1")}
			for _, s := range servers {
				b.state(s)
			}
			test.prepare(b, servers)
			got := b.Choose(start, Candidates{Service: test.service, Servers: servers}, test.job(), test.queueDepth, false)
			if test.want == "" {
				assert.Assert(t, got == nil)
				return
			}
			assert.Equal(t, got.ID, test.want)
		})
	}
}

// TestAvoidanceEnds guards against backend servers that stay avoided after they have recovered.
func TestAvoidanceEnds(t *testing.T) {
	b := NewBoard(BoardConfig{Self: "n"})
	s, j := server("s0"), job(10, 10)
	for range 10 {
		b.Start(start, s, j)
		b.Finish(start, engineService, s, j, Outcome{})
	}
	assert.Assert(t, b.Avoided(start.Add(maxAvoidance-time.Millisecond), s))
	assert.Assert(t, !b.Avoided(start.Add(maxAvoidance), s))
	b.Start(start, s, j)
	b.Finish(start, engineService, s, j, Outcome{Answered: true, OK: true})
	assert.Assert(t, !b.Avoided(start, s))
}

// TestSingleLostAnswerNotAvoided guards against avoiding a backend server because of one lost answer, which sends all
// requests to the others, and against not avoiding one that crashed.
func TestSingleLostAnswerNotAvoided(t *testing.T) {
	tests := []struct {
		name     string
		outcomes []Outcome
		after    time.Duration // Time from the latest answer.
		avoided  bool
	}{
		{"one lost answer", []Outcome{{Answered: true, OK: true}, {}}, singleLossGrace / 2, false},
		{"lost answers with one between", []Outcome{{Answered: true, OK: true}, {}, {Answered: true, OK: true}, {}}, singleLossGrace / 2, false},
		{"two lost answers", []Outcome{{Answered: true, OK: true}, {}, {}}, singleLossGrace / 2, true},
		{"no connection", []Outcome{{Answered: true, OK: true}, {Unreachable: true}}, singleLossGrace / 2, true},
		{"silent for long", []Outcome{{Answered: true, OK: true}, {}}, singleLossGrace, true},
		{"never answered", []Outcome{{}}, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewBoard(BoardConfig{Self: "n"})
			s, j, now := server("s0"), job(10, 10), start
			for _, o := range test.outcomes {
				if !o.Answered {
					now = start.Add(test.after)
				}
				b.Start(now, s, j)
				b.Finish(now, engineService, s, j, o)
			}
			assert.Equal(t, b.Avoided(now, s), test.avoided)
			assert.Equal(t, len(b.UnreachableIDs(now)) > 0, test.avoided)
		})
	}
}

// TestReportedFailureNotRepeated guards against instances that keep a backend server avoided by repeating each other's
// reports of a failure.
func TestReportedFailureNotRepeated(t *testing.T) {
	b := NewBoard(BoardConfig{Self: "n"})
	s, j := server("s0"), job(10, 10)
	b.Start(start, s, j)
	b.Finish(start, engineService, s, j, Outcome{})
	assert.DeepEqual(t, b.UnreachableIDs(start), []string{"s0"})
	later := start.Add(firstAvoidance)
	b.ApplyReportedUnreachable(later, map[string]int{"s0": 1}, later.Add(time.Second))
	assert.Assert(t, b.Avoided(later, s))
	assert.Equal(t, len(b.UnreachableIDs(later)), 0)
}

// TestStaleReportsSpreadRequests guards against instances that all choose the same backend servers because they have the
// same outdated reports: 60 instances place 220 requests on 140 idle backend servers without hearing from each other,
// and none of the backend servers may be overfilled.
func TestStaleReportsSpreadRequests(t *testing.T) {
	const instances, serverCount, requests = 60, 140, 220
	servers := make([]*fleet.Server, serverCount)
	for i := range servers {
		servers[i] = server(fmt.Sprintf("s%d", i))
	}
	got := map[string]int{}
	boards := make([]*Board, instances)
	for i := range boards {
		boards[i] = NewBoard(BoardConfig{Self: fmt.Sprintf("n%d", i), Random: func() float64 { return 1 }})
		boards[i].SetUnseen(1.6)
	}
	for r := range requests {
		b, j := boards[r%instances], job(3700, 120)
		s := b.Choose(start, Candidates{Service: engineService, Servers: servers}, j, 0, false)
		b.Start(start, s, j)
		got[s.ID]++
	}
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	assert.Assert(t, most <= 7, "%d requests at one backend server", most)
	assert.Assert(t, len(got) >= serverCount/2, "only %d backend servers were used", len(got))
}

// TestRecoveredServerNotOverfilled guards against the waiting requests of all instances being sent to a backend server
// as soon as it is back: 60 instances with ten waiting requests each may send it at most three times as many requests as
// it has slots.
func TestRecoveredServerNotOverfilled(t *testing.T) {
	const instances = 60
	servers := []*fleet.Server{server("s0")}
	sent := 0
	for i := range instances {
		b := NewBoard(BoardConfig{Self: fmt.Sprintf("n%d", i)})
		b.SetInstances(instances, 1)
		for range 10 {
			j := job(1000, 100)
			if s := b.Choose(start, Candidates{Service: engineService, Servers: servers}, j, 2, true); s != nil {
				b.Start(start, s, j)
				sent++
			}
		}
	}
	assert.Assert(t, sent <= 3*servers[0].Slots, "%d requests", sent)
	assert.Assert(t, sent >= 1)
}

// TestFallbackServersTakeAllRequests guards against fallback servers that stay idle while no other is registered, for
// example when all registrations lapse because the store failed: 60 instances with ten requests each and 140 idle
// backend servers must place all requests immediately.
func TestFallbackServersTakeAllRequests(t *testing.T) {
	const instances = 60
	var fallback []*fleet.Server
	for i := range 140 {
		fallback = append(fallback, server(fmt.Sprintf("s%d", i)))
	}
	for i := range instances {
		b := NewBoard(BoardConfig{Self: fmt.Sprintf("n%d", i)})
		b.SetInstances(instances, 1)
		b.SetUnseen(0.5)
		placed := 0
		for range 10 {
			j := job(1000, 100)
			if s := b.Choose(start, Candidates{Service: engineService, Fallback: fallback}, j, 0, false); s != nil {
				b.Start(start, s, j)
				placed++
			}
		}
		assert.Equal(t, placed, 10, "requests placed by instance %d", i)
	}
}

// TestFirstEventPredictionSeparatesBase guards against a predicted time to the first event that counts the constant part
// of each request as time to process its prompt. Long prompts then look several times slower than they are, even more so
// at slow engines.
func TestFirstEventPredictionSeparatesBase(t *testing.T) {
	const base, tokensPerMS = 120.0, 60.0 // Milliseconds, and tokens per millisecond at the fast engine.
	b := NewBoard(BoardConfig{Self: "n"})
	servers := []*fleet.Server{server("fast"), server("slow")}
	interToken := []time.Duration{4 * time.Millisecond, 16 * time.Millisecond}
	first := func(slow, prompt int) float64 {
		return base + float64(prompt)/tokensPerMS*float64(interToken[slow])/float64(interToken[0])
	}
	for n := range 200 {
		slow, prompt := n%2, 200+n*100%8000
		s, j := servers[slow], job(prompt, 100)
		b.RecordInterToken(engineService, s, interToken[slow])
		b.Start(start, s, j)
		b.RecordFirstEvent(start, engineService, s, j, Load{}, milliseconds(first(slow, prompt)))
		b.Finish(start, engineService, s, j, Outcome{Answered: true, OK: true, FirstEvent: true, Total: time.Second})
	}
	for slow, s := range servers {
		for _, prompt := range []int{300, 3000, 12000} {
			got := float64(b.PredictFirstEvent(engineService, s, job(prompt, 100)).Microseconds()) / 1000
			want := first(slow, prompt)
			assert.Assert(t, math.Abs(got-want) < 0.2*want, "%s, %d tokens: predicted %.0f ms, takes %.0f ms",
				s.ID, prompt, got, want)
		}
	}
}

// TestOwnLoadCountedOnce guards against loads that are counted twice or not released.
func TestOwnLoadCountedOnce(t *testing.T) {
	b := NewBoard(BoardConfig{Self: "n"})
	s, j := server("s0"), job(1000, 10)
	b.Start(start, s, j)
	b.Start(start, s, j)
	assert.DeepEqual(t, b.OwnLoads(), map[string]Load{"s0": {Requests: 2, PromptTokens: 2000}})
	b.RecordFirstEvent(start, engineService, s, j, Load{}, 40*time.Millisecond)
	assert.DeepEqual(t, b.OwnLoads(), map[string]Load{"s0": {Requests: 2, PromptTokens: 1000}})
	b.Finish(start, engineService, s, j, Outcome{Answered: true, OK: true, FirstEvent: true})
	b.Finish(start, engineService, s, j, Outcome{Abandoned: true})
	assert.DeepEqual(t, b.OwnLoads(), map[string]Load{})
}
