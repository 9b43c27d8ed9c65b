package engine

import (
	"container/list"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/measure/clock"
)

// Engine runs the streams of one backend server on a virtual clock.
type Engine struct {
	cfg         Config
	clock       *clock.Clock
	rnd         *rand.Rand
	faults      Faults
	running     []*Stream
	waiting     []*Stream
	cache       cache
	coldLeft    int  // Number of requests still to be completed before the engine is warm; 0 when it is.
	startedCold bool // Whether the engine was cold when it was created.
	stepping    bool // A step is in progress.
	loadSamples []loadSample
	events      []pendingEvent
	sequence    uint64
	stats       Stats
}

// Stats holds counters over the lifetime of an engine.
type Stats struct {
	Admitted   int // Number of streams admitted.
	Overloaded int // Number of times that load beyond the cold limit failed all streams.
	Prefilled  int // Number of prompt tokens computed.
	Cached     int // Number of prompt tokens read from the cache.
}

// New returns an engine that runs on the clock. If cold is true, it starts cold.
func New(c *clock.Clock, cfg Config, cold bool) *Engine {
	e := &Engine{
		cfg: cfg, clock: c, startedCold: cold, rnd: rand.New(rand.NewPCG(cfg.Seed, 1)),
		cache: cache{limit: cfg.CacheBlocks, blocks: map[uint64]*list.Element{}},
	}
	if cold {
		e.coldLeft = cfg.ColdRequests
	}
	return e
}

// Config returns the configuration of the engine.
func (e *Engine) Config() Config { return e.cfg }

// Stats returns the counters.
func (e *Engine) Stats() Stats { return e.stats }

// Cold reports whether the engine is in cold start.
func (e *Engine) Cold() bool { return e.coldLeft > 0 }

// Load returns the number of requests that run or wait in the engine.
func (e *Engine) Load() int { return len(e.running) + len(e.waiting) }

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) { e.faults = f }

// Refuses reports whether the engine refuses connections.
func (e *Engine) Refuses() bool { return e.faults.Refuse }

// BecomeCold makes the engine cold without notice to any client. Running streams continue.
func (e *Engine) BecomeCold() {
	e.coldLeft = e.cfg.ColdRequests
	e.recordLoad()
}

// Restart fails all streams and restarts the engine cold, with an empty cache.
func (e *Engine) Restart() {
	e.BecomeCold()
	e.publish(e.cache.clear(), true)
	e.failAll()
}

// Admit accepts a stream and reports whether it did. False means that the stream certainly did not run.
func (e *Engine) Admit(s *Stream) bool {
	if e.faults.Refuse {
		return false
	}
	e.stats.Admitted++
	s.Start = e.clock.Now()
	s.CachedTokens = min(s.Prompt, e.cache.leadingHits(s.Blocks)*BlockTokens)
	s.prefillLeft = s.Prompt - s.CachedTokens
	s.willFail = e.faults.applies(s.Route, e.Load()+1) && e.rnd.Float64() < e.faults.FailShare
	e.stats.Cached += s.CachedTokens
	e.waiting = append(e.waiting, s)
	if e.Cold() && e.Load() > e.cfg.ColdLimit {
		e.stats.Overloaded++
		e.coldLeft = e.cfg.ColdRequests
		e.failAll()
	}
	e.recordLoad()
	e.startStep()
	return true
}

// Cancel removes a stream without calling its End function and reports whether it was present.
func (e *Engine) Cancel(id string) bool {
	matches := func(s *Stream) bool { return s.ID == id }
	before := e.Load()
	e.running = slices.DeleteFunc(e.running, matches)
	e.waiting = slices.DeleteFunc(e.waiting, matches)
	e.recordLoad()
	return e.Load() < before
}

// failAll ends all running and waiting streams as failed.
func (e *Engine) failAll() {
	all := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	e.recordLoad()
	for _, s := range all {
		e.endStream(s, true)
	}
}

func (e *Engine) endStream(s *Stream, failed bool) {
	s.Failed = failed
	s.Cold = e.Cold()
	if s.End != nil {
		s.End(*s)
	}
}

// startStep starts a step unless one is in progress or there are no requests.
func (e *Engine) startStep() {
	if e.stepping || e.Load() == 0 {
		return
	}
	room := max(0, min(e.cfg.MaxBatch-len(e.running), len(e.waiting)))
	e.running = append(e.running, e.waiting[:room]...)
	e.waiting = e.waiting[room:]
	budget, decoding, slowdown := e.cfg.PrefillTokens, 0, 1.0
	for _, s := range e.running {
		s.stepPrefill = min(s.prefillLeft, budget)
		budget -= s.stepPrefill
		s.decodes = s.prefillLeft == 0
		if s.decodes {
			decoding++
		}
		if e.faults.applies(s.Route, len(e.running)) {
			slowdown = max(slowdown, e.faults.Slow)
		}
	}
	e.stepping = true
	d := time.Duration(float64(e.cfg.StepTime(decoding, e.cfg.PrefillTokens-budget)) * slowdown)
	e.clock.After(d, e.finishStep)
}

// finishStep completes a step: prefill advances, and each decoding stream gets a token.
func (e *Engine) finishStep() {
	e.stepping = false
	var ended []*Stream
	rest := e.running[:0]
	for _, s := range e.running {
		if e.advance(s) {
			ended = append(ended, s)
			continue
		}
		rest = append(rest, s)
	}
	e.running = rest
	for _, s := range ended {
		e.coldLeft = max(0, e.coldLeft-1)
		e.endStream(s, s.willFail)
	}
	e.recordLoad()
	e.startStep()
}

// shareMemory limits the cache to the memory that running requests leave, if they share it. A request that has processed its
// prompt holds its output; its prompt is in the cache.
func (e *Engine) shareMemory() {
	if e.cfg.MemoryTokens <= 0 {
		return
	}
	left := e.cfg.MemoryTokens
	for _, s := range e.running {
		left -= s.Tokens
		if s.prefillLeft > 0 {
			left -= s.Prompt - s.CachedTokens
		}
	}
	e.cache.limit = max(0, left/BlockTokens)
}

// advance applies the completed step to one stream and reports whether the stream has ended.
func (e *Engine) advance(s *Stream) bool {
	s.prefillLeft -= s.stepPrefill
	e.stats.Prefilled += s.stepPrefill
	if s.stepPrefill > 0 && s.prefillLeft == 0 {
		e.shareMemory()
		stored, evicted := e.cache.put(s.Blocks)
		e.publish(stored, false)
		e.publish(evicted, true)
	}
	s.stepPrefill = 0
	if !s.decodes {
		return false
	}
	s.decodes = false
	if s.willFail {
		return true
	}
	now := e.clock.Now()
	s.Tokens++
	if s.Tokens == 1 {
		s.First = now
		if s.Began != nil {
			s.Began()
		}
	} else if s.Token != nil {
		s.Token(now.Sub(s.Last))
	}
	s.Last = now
	return s.Tokens >= s.Output
}
