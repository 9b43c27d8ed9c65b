package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/promptcache"
)

// promptService is engineService with engines whose memory is known.
var promptService = &fleet.Service{Name: "pool", Engine: true, TokensPerEvent: 4, KVCapacity: 20_000}

// promptJob returns a job with a shared part of a number of tokens and 500 tokens of its own.
func promptJob(shared, output int) *Job {
	j := job(shared+500, output)
	j.OutputHint = output
	j.Prompt = promptcache.Prompt{{ID: 1, Tokens: shared}, {ID: 2, Tokens: 500}}
	return j
}

// keep records that an engine keeps the first part of a job's prompt.
func keep(b *Board, s *fleet.Server, j *Job) {
	b.RecordPromptRead(promptService, s, &Job{Prompt: j.Prompt[:1]})
}

// TestPrefixIsWeighedAgainstWait guards against requests that read again what a free engine keeps, and against requests that
// follow the prompt to an engine where they wait for longer than it saves.
func TestPrefixIsWeighedAgainstWait(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(b *Board, s []*fleet.Server)
		shared  int
		output  int
		want    string // Id of the chosen engine; s2 keeps the shared part.
	}{
		{"idle", func(*Board, []*fleet.Server) {}, 2000, 100, "s2"},
		{"short part", func(*Board, []*fleet.Server) {}, 200, 100, "s2"},
		{"prompts ahead that take longer", func(b *Board, _ []*fleet.Server) {
			b.SetOtherLoads(map[string]Load{"s2": {Requests: 1, PromptTokens: 5000}})
		}, 2000, 100, "s0"},
		{"prompts ahead that take less", func(b *Board, _ []*fleet.Server) {
			b.SetOtherLoads(map[string]Load{"s2": {Requests: 1, PromptTokens: 500}})
		}, 2000, 100, "s2"},
		{"full", func(b *Board, _ []*fleet.Server) {
			b.SetOtherLoads(map[string]Load{"s2": {Requests: 4}})
		}, 8000, 100, "s0"},
		{"slow", func(b *Board, _ []*fleet.Server) {
			b.SeedInterToken(map[string]float64{"s0": 5, "s1": 5, "s2": 20})
			b.model("pool").interToken.add(8)
		}, 2000, 100, "s0"},
		{"running streams that cost more than the part", func(b *Board, _ []*fleet.Server) {
			b.SetOtherLoads(map[string]Load{"s2": {Requests: 3}, "s1": {Requests: 3}})
		}, 400, 200, ""},
		{"running streams of other instances, at an engine that keeps nothing", func(b *Board, _ []*fleet.Server) {
			b.SetOtherLoads(map[string]Load{"s0": {Requests: 2}, "s1": {Requests: 2}})
		}, 200, 200, "s2"},
		{"running streams that cost less than the part", func(b *Board, _ []*fleet.Server) {
			b.SetOtherLoads(map[string]Load{"s2": {Requests: 3}})
		}, 8000, 100, "s2"},
		{"memory full of running requests", func(b *Board, s []*fleet.Server) {
			for range 3 {
				j := job(6000, 500)
				b.ExpectKept(promptService, s[2], j)
				b.Start(start, s[2], j)
			}
			keep(b, s[2], promptJob(1500, 0))
		}, 1500, 1000, "s0"},
		{"evicted by another prompt", func(b *Board, s []*fleet.Server) {
			b.RecordPromptRead(promptService, s[2], &Job{Prompt: promptcache.Prompt{{ID: 9, Tokens: 20_000}}})
		}, 2000, 100, ""},
		{"restarted", func(_ *Board, s []*fleet.Server) {
			next := *s[2]
			next.StartMS = 5
			s[2] = &next
		}, 2000, 100, ""},
		{"unreachable once", func(b *Board, s []*fleet.Server) {
			j := job(10, 10)
			b.ExpectKept(promptService, s[2], j)
			b.Start(start, s[2], j)
			b.Finish(start, promptService, s[2], j, Outcome{Unreachable: true})
			b.state(s[2]).recordAnswer(start, true)
			b.state(s[2]).failureRate = 0
		}, 2000, 100, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewBoard(BoardConfig{Random: func() float64 { return 1 }, Self: "n"})
			servers := []*fleet.Server{server("s0"), server("s1"), server("s2")}
			plain := NewBoard(BoardConfig{Random: func() float64 { return 1 }, Self: "n", IgnorePrompts: true})
			for _, s := range servers {
				b.state(s).costOffset, plain.state(s).costOffset = 0, 0
			}
			b.state(servers[2]).costOffset, plain.state(servers[2]).costOffset = 1, 1 // Without the part, s0 is preferred.
			j := promptJob(test.shared, test.output)
			keep(b, servers[2], j)
			test.prepare(b, servers)
			if test.want == "" {
				test.want = "s0" // The part makes no difference.
			}
			got := b.Choose(start, Candidates{Service: promptService, Servers: servers}, j, 0, false)
			assert.Equal(t, got.ID, test.want)
			got = plain.Choose(start, Candidates{Service: promptService, Servers: servers}, j, 0, false)
			assert.Equal(t, got.ID, "s0")
		})
	}
}

// TestPredictionsCountUnreadTokens guards against predictions that include tokens which the engine keeps, and against a load
// that is not released in full.
func TestPredictionsCountUnreadTokens(t *testing.T) {
	b := NewBoard(BoardConfig{Self: "n"})
	s := server("s0")
	j := promptJob(3500, 100)
	b.ExpectKept(promptService, s, j)
	assert.Equal(t, j.Kept, 0)
	whole := b.PredictFirstEvent(promptService, s, j)
	keep(b, s, j)
	b.ExpectKept(promptService, s, j)
	assert.Equal(t, j.Kept, 3500)
	saved := whole - b.PredictFirstEvent(promptService, s, j)
	assert.Assert(t, saved > 80*time.Millisecond && saved < 95*time.Millisecond, "%v", saved) // 3,500 tokens at 40 a millisecond.
	b.Start(start, s, j)
	assert.Equal(t, b.Load(s), Load{Requests: 1, PromptTokens: 500})
	b.RecordFirstEvent(start, promptService, s, j, Load{}, 40*time.Millisecond)
	assert.Equal(t, b.Load(s), Load{Requests: 1})
	b.Finish(start, promptService, s, j, Outcome{Answered: true, OK: true, FirstEvent: true})
	assert.Equal(t, b.Load(s), Load{})
	e := b.state(s).engine
	assert.Equal(t, e.Held(), 0)
	assert.Equal(t, e.Kept(), 4000)
}

// TestMemoryIsReleased guards against memory that counts as used after its request has ended in any way.
func TestMemoryIsReleased(t *testing.T) {
	tests := []struct {
		name    string
		first   bool
		outcome Outcome
		kept    int
	}{
		{"answered", true, Outcome{Answered: true, OK: true, FirstEvent: true}, 2500},
		{"answered without stream", false, Outcome{Answered: true, OK: true}, 2500},
		{"refused", false, Outcome{NotRun: true}, 0},
		{"lost", false, Outcome{}, 0},
		{"lost after the first event", true, Outcome{FirstEvent: true}, 2500},
		{"abandoned", false, Outcome{Abandoned: true}, 0},
		{"unreachable", false, Outcome{Unreachable: true}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewBoard(BoardConfig{Self: "n"})
			s, j := server("s0"), promptJob(2000, 100)
			b.ExpectKept(promptService, s, j)
			b.Start(start, s, j)
			assert.Equal(t, b.state(s).engine.Held(), 2600)
			if test.first {
				b.RecordFirstEvent(start, promptService, s, j, Load{}, 40*time.Millisecond)
				assert.Equal(t, b.state(s).engine.Held(), 2600)
			}
			b.Finish(start, promptService, s, j, test.outcome)
			assert.Equal(t, b.state(s).engine.Held(), 0)
			assert.Equal(t, b.state(s).engine.Kept(), test.kept)
			// All memory can be used for parts again.
			b.RecordPromptRead(promptService, s, &Job{Prompt: promptcache.Prompt{{ID: 7, Tokens: promptService.KVCapacity}}})
			assert.Equal(t, b.state(s).engine.Kept(), promptService.KVCapacity)
			b.Sweep(start.Add(2*stateRetention), func(fleet.Incarnation) bool { return false })
			assert.Equal(t, b.KeptParts(), 0)
			assert.Equal(t, len(b.stateByEngine), 0)
		})
	}
}

// TestNothingChangesWithoutParts guards against choices that depend on the record of prompts although a request has no parts, its
// service does not tell its memory, or prompts are ignored.
func TestNothingChangesWithoutParts(t *testing.T) {
	tests := []struct {
		name    string
		service *fleet.Service
		ignore  bool
		parts   bool
	}{
		{"no parts", promptService, false, false},
		{"unknown memory", engineService, false, true},
		{"ignored", promptService, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			choices := func(cfg BoardConfig, svc *fleet.Service, parts bool) (ids []string) {
				n := 0
				cfg.Self, cfg.Random = "n", func() float64 {
					n++
					return float64(n*7%10) / 10
				}
				b := NewBoard(cfg)
				var servers []*fleet.Server
				for i := range 20 {
					servers = append(servers, server(fmt.Sprintf("s%d", i)))
				}
				for i := range 60 {
					j := promptJob(1000+100*i, 100)
					if !parts {
						j.Prompt = nil
					}
					s := b.Choose(start, Candidates{Service: svc, Servers: servers}, j, 0, false)
					ahead := b.Load(s)
					b.ExpectKept(svc, s, j)
					b.Start(start, s, j)
					if i%2 == 0 {
						b.RecordFirstEvent(start, svc, s, j, ahead, time.Duration(30+i)*time.Millisecond)
					}
					ids = append(ids, fmt.Sprintf("%s %v", s.ID, b.PredictFirstEvent(svc, s, j)))
				}
				return ids
			}
			want := choices(BoardConfig{IgnorePrompts: true}, engineService, false)
			assert.DeepEqual(t, choices(BoardConfig{IgnorePrompts: test.ignore}, test.service, test.parts), want)
		})
	}
}

// TestSampleIncludesHolders guards against a large service in which requests do not find the few engines that keep their
// prompt, and against engines that are found after they have left the candidates.
func TestSampleIncludesHolders(t *testing.T) {
	var servers []*fleet.Server
	for i := range 2400 {
		servers = append(servers, server(fmt.Sprintf("s%d", i)))
	}
	b := NewBoard(BoardConfig{Self: "n"})
	j := promptJob(3000, 100)
	c := Candidates{Service: promptService, Servers: servers}
	holder := b.Choose(start, c, j, 0, false)
	b.ExpectKept(promptService, holder, j)
	b.Start(start, holder, j)
	b.RecordFirstEvent(start, promptService, holder, j, Load{}, 50*time.Millisecond)
	b.Finish(start, promptService, holder, j, Outcome{Answered: true, OK: true, FirstEvent: true})
	for range 50 {
		assert.Equal(t, b.Choose(start, c, promptJob(3000, 100), 0, false).ID, holder.ID)
	}
	var others []*fleet.Server
	for _, s := range servers {
		if s != holder {
			others = append(others, s)
		}
	}
	for range 50 {
		s := b.Choose(start, Candidates{Service: promptService, Servers: others}, promptJob(3000, 100), 0, false)
		assert.Assert(t, s != holder)
	}
}
