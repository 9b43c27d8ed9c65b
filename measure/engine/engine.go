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
	cfg      Config
	clock    *clock.Clock
	rnd      *rand.Rand
	faults   Faults
	running  []*Stream
	waiting  []*Stream
	cache    cache
	coldLeft int
	born     bool // Cold at the start.
	stepping bool
	readings []reading
	events   []publication
	sequence uint64
	stats    Stats
}

// Stats are counters over the life of an engine.
type Stats struct {
	Admitted  int
	Fallen    int // Times that it fell over in cold start.
	Prefilled int // Prompt tokens computed.
	Cached    int // Prompt tokens read from the cache.
}

// New returns an engine on the clock, cold when cold is true.
func New(c *clock.Clock, cfg Config, cold bool) *Engine {
	e := &Engine{
		cfg: cfg, clock: c, born: cold, rnd: rand.New(rand.NewPCG(cfg.Seed, 1)),
		cache: cache{limit: cfg.CacheBlocks, blocks: map[uint64]*list.Element{}},
	}
	if cold {
		e.coldLeft = cfg.ColdFor
	}
	return e
}

// Config returns the description of the engine.
func (e *Engine) Config() Config { return e.cfg }

// Stats returns the counters.
func (e *Engine) Stats() Stats { return e.stats }

// Cold reports whether the engine is in cold start.
func (e *Engine) Cold() bool { return e.coldLeft > 0 }

// Load returns the requests that run or wait in the engine.
func (e *Engine) Load() int { return len(e.running) + len(e.waiting) }

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) { e.faults = f }

// Refuses reports whether connections are refused.
func (e *Engine) Refuses() bool { return e.faults.Refuse }

// Chill turns the engine cold without a sign to anybody; running streams go on.
func (e *Engine) Chill() {
	e.coldLeft = e.cfg.ColdFor
	e.note()
}

// Restart fails all streams and starts the engine again, cold and with an empty cache.
func (e *Engine) Restart() {
	e.Chill()
	e.publish(e.cache.clear(), true)
	e.failAll()
}

// Admit takes in a stream and reports whether it did; false means that the stream certainly did not run.
func (e *Engine) Admit(s *Stream) bool {
	if e.faults.Refuse {
		return false
	}
	e.stats.Admitted++
	s.Start = e.clock.Now()
	s.Cached = min(s.Prompt, e.cache.hits(s.Blocks)*BlockTokens)
	s.left = s.Prompt - s.Cached
	s.doomed = e.faults.hit(s.Route, e.Load()+1) && e.rnd.Float64() < e.faults.FailShare
	e.stats.Cached += s.Cached
	e.waiting = append(e.waiting, s)
	if e.Cold() && e.Load() > e.cfg.ColdLimit {
		e.stats.Fallen++
		e.coldLeft = e.cfg.ColdFor
		e.failAll()
	}
	e.note()
	e.begin()
	return true
}

// Cancel ends a stream without a call of its End and reports whether it was there.
func (e *Engine) Cancel(id string) bool {
	gone := func(s *Stream) bool { return s.ID == id }
	before := e.Load()
	e.running = slices.DeleteFunc(e.running, gone)
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	e.note()
	return e.Load() < before
}

// failAll ends every stream as failed.
func (e *Engine) failAll() {
	all := slices.Concat(e.running, e.waiting)
	e.running, e.waiting = nil, nil
	e.note()
	for _, s := range all {
		e.end(s, true)
	}
}

func (e *Engine) end(s *Stream, failed bool) {
	s.Failed = failed
	s.Cold = e.Cold()
	if s.End != nil {
		s.End(*s)
	}
}

// begin starts a step unless one is under way or there is nothing to do.
func (e *Engine) begin() {
	if e.stepping || e.Load() == 0 {
		return
	}
	room := max(0, min(e.cfg.MaxBatch-len(e.running), len(e.waiting)))
	e.running = append(e.running, e.waiting[:room]...)
	e.waiting = e.waiting[room:]
	budget, decoding, slow := e.cfg.PrefillTokens, 0, 1.0
	for _, s := range e.running {
		s.taken = min(s.left, budget)
		budget -= s.taken
		s.decodes = s.left == 0
		if s.decodes {
			decoding++
		}
		if e.faults.hit(s.Route, len(e.running)) {
			slow = max(slow, e.faults.Slow)
		}
	}
	e.stepping = true
	d := time.Duration(float64(e.cfg.Step(decoding, e.cfg.PrefillTokens-budget)) * slow)
	e.clock.After(d, e.finish)
}

// finish ends a step: prompts move on, and each decoding stream gets a token.
func (e *Engine) finish() {
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
		e.end(s, s.doomed)
	}
	e.note()
	e.begin()
}

// advance applies the step to one stream and reports whether the stream has ended.
func (e *Engine) advance(s *Stream) bool {
	s.left -= s.taken
	e.stats.Prefilled += s.taken
	if s.taken > 0 && s.left == 0 {
		stored, evicted := e.cache.put(s.Blocks)
		e.publish(stored, false)
		e.publish(evicted, true)
	}
	s.taken = 0
	if !s.decodes {
		return false
	}
	s.decodes = false
	if s.doomed {
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
