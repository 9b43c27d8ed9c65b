package prompts

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/measure/clock"
	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
	"github.com/mustardseam/mustardseam/mustardseam/promptcache"
)

const (
	// maxSessions bounds the sessions that may go on, and maxSessionParts their prompts.
	maxSessions     = 200
	maxSessionParts = 8
	// streamPause is the pause between events that callers expect.
	streamPause = 250 * time.Millisecond
)

// world is the state of a run.
type world struct {
	cfg      Config
	clock    *clock.Clock
	random   *rand.Rand
	board    *placement.Board
	service  *fleet.Service
	servers  []*fleet.Server
	engines  map[string]*engine.Engine
	waiting  []*call
	sessions []promptcache.Prompt
	lastPart uint64
	seen     map[uint64]bool // Blocks that an engine has processed.
	result   Result
	first    []time.Duration
	pauses   time.Duration
	tokens   int
	hot      int // Requests with the most frequent first part.
	hotMet   int // Requests that these met at their engines.
}

// call is one request.
type call struct {
	job     *placement.Job
	arrived time.Time
	output  int
}

// Play runs the load until all requests have ended.
func Play(cfg Config) Result {
	w := &world{
		cfg: cfg, clock: &clock.Clock{}, random: rand.New(rand.NewPCG(cfg.Seed, 3)), engines: map[string]*engine.Engine{},
		service: &fleet.Service{Name: "models", Engine: true, TokensPerEvent: 1, KVCapacity: cfg.Memory},
		seen:    map[uint64]bool{},
	}
	choices := rand.New(rand.NewPCG(cfg.Seed, 4))
	w.board = placement.NewBoard(placement.BoardConfig{Self: "hub", Random: choices.Float64, IgnorePrompts: cfg.IgnorePrompts})
	w.board.SetInstances(1, 1)
	for i := range cfg.Engines {
		e := cfg.Engine
		e.Name, e.MemoryTokens, e.CacheBlocks = fmt.Sprint("e", i), cfg.Memory, cfg.Memory/engine.BlockTokens
		w.servers = append(w.servers, &fleet.Server{ID: e.Name, Service: w.service.Name, Slots: e.MaxBatch})
		w.engines[e.Name] = engine.New(w.clock, e, false)
	}
	w.clock.After(0, w.arrive)
	w.clock.Run(cfg.End + time.Minute)
	w.finish()
	return w.result
}

// arrive creates a request and schedules the next one.
func (w *world) arrive() {
	if w.clock.Since() >= w.cfg.End {
		return
	}
	now := w.clock.Now()
	prompt := w.nextPrompt()
	c := &call{arrived: now, output: max(1, int(w.random.ExpFloat64()*float64(w.cfg.Output)))}
	c.job = &placement.Job{
		Route: "r", PromptTokens: prompt.Tokens(), MaxOutputTokens: 8 * w.cfg.Output, Gap: streamPause, Arrived: now,
		Objective: now.Add(time.Second), Deadline: now.Add(time.Minute), Prompt: prompt,
	}
	w.result.Requests++
	w.waiting = append(w.waiting, c)
	w.place()
	w.clock.After(time.Duration(w.random.ExpFloat64()/w.cfg.Rate*float64(time.Second)), w.arrive)
}

// nextPrompt draws the parts of a prompt.
func (w *world) nextPrompt() promptcache.Prompt {
	var p promptcache.Prompt
	if len(w.sessions) > 0 && w.random.Float64() < w.cfg.Sessions {
		p = w.sessions[w.random.IntN(len(w.sessions))]
	} else {
		template := 0
		if w.random.Float64() >= w.cfg.TemplateShare {
			template = w.random.IntN(w.cfg.Templates)
		}
		p = promptcache.Prompt{{ID: uint64(1 + template), Tokens: w.cfg.Template}}
		if w.cfg.Documents > 0 {
			p = append(p, promptcache.Part{ID: uint64(1_000 + w.random.IntN(w.cfg.Documents)), Tokens: w.cfg.Document})
		}
	}
	w.lastPart++
	p = append(slices.Clone(p), promptcache.Part{ID: 1_000_000 + w.lastPart, Tokens: w.cfg.Own})
	if len(p) < maxSessionParts {
		w.sessions = append(w.sessions, p)
		w.sessions = w.sessions[max(0, len(w.sessions)-maxSessions):]
	}
	return p
}

// place sends waiting requests, in order of their arrival, while there is room.
func (w *world) place() {
	for len(w.waiting) > 0 {
		c := w.waiting[0]
		now := w.clock.Now()
		candidates := placement.Candidates{Service: w.service, Servers: w.servers}
		s := w.board.Choose(now, candidates, c.job, 0, len(w.waiting) > 1)
		if s == nil {
			return
		}
		w.waiting = w.waiting[1:]
		w.send(now, s, c)
	}
}

// send sends a request to an engine.
func (w *world) send(now time.Time, s *fleet.Server, c *call) {
	if c.job.Prompt[0].ID == 1 {
		w.hot++
		w.hotMet += w.engines[s.ID].Load()
	}
	ahead := w.board.Load(s)
	w.board.ExpectKept(w.service, s, c.job)
	w.board.Start(now, s, c.job)
	stream := &engine.Stream{
		ID: fmt.Sprint(w.lastPart), Prompt: c.job.PromptTokens, Output: c.output, Blocks: blocksOf(c.job.Prompt),
		Began: func() {
			at := w.clock.Now()
			w.first = append(w.first, at.Sub(c.arrived))
			w.board.RecordFirstEvent(at, w.service, s, c.job, ahead, at.Sub(now))
		},
		Token: func(gap time.Duration) {
			w.pauses += gap
			w.tokens++
		},
		End: func(ended engine.Stream) {
			at := w.clock.Now()
			w.board.Finish(at, w.service, s, c.job, placement.Outcome{
				Answered: true, OK: true, FirstEvent: true, Total: at.Sub(now), InterToken: ended.Between(), Output: ended.Tokens,
			})
			w.place()
		},
	}
	w.engines[s.ID].Admit(stream)
	w.result.Missed += max(0, stream.CachedTokens-c.job.Kept)
	w.result.Overrated += max(0, c.job.Kept-stream.CachedTokens)
	for _, b := range stream.Blocks[stream.CachedTokens/engine.BlockTokens:] {
		if w.seen[b] {
			w.result.ReadAgain += engine.BlockTokens
		}
		w.seen[b] = true
	}
}

// blocksOf returns the blocks of a prompt whose parts are multiples of a block.
func blocksOf(p promptcache.Prompt) []uint64 {
	var blocks []uint64
	for _, part := range p {
		for i := range part.Tokens / engine.BlockTokens {
			blocks = append(blocks, part.ID<<16|uint64(i))
		}
	}
	return blocks
}

// finish computes the result.
func (w *world) finish() {
	for _, e := range w.engines {
		w.result.Read += e.Stats().Prefilled
		w.result.Kept += e.Stats().Cached
	}
	slices.Sort(w.first)
	var sum time.Duration
	for _, d := range w.first {
		sum += d
	}
	w.result.FirstEvent = sum / time.Duration(max(1, len(w.first)))
	if len(w.first) > 0 {
		w.result.FirstEvent9 = w.first[len(w.first)*95/100]
	}
	w.result.InterToken = w.pauses / time.Duration(max(1, w.tokens))
	w.result.HotMet = float64(w.hotMet) / float64(max(1, w.hot))
}
