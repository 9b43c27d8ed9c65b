package engine

import (
	"maps"
	"sync"
	"time"
)

// BlockTokens is the size of a prompt block in tokens.
const BlockTokens = 16

// Engine runs the batch; its methods are safe for concurrent use.
type Engine struct {
	cfg  Config
	stop chan struct{}

	mu        sync.Mutex // Guards all that follows.
	faults    Faults
	version   string
	fence     uint64
	running   []*stream
	waiting   []*stream
	streams   map[string]*stream
	cache     *cache
	events    []Event
	coldLeft  int
	admitted  int
	fallen    int // Times that the engine fell over in cold start.
	overCold  int // Requests beyond the cold limit.
	sequence  uint64
	reports   []timedLoad
	broken    bool
	perKey    map[string]int
	perTag    map[string]int
	prefilled int
	reused    int
}

type timedLoad struct {
	at   time.Time
	load Load
}

// New starts an engine, which runs until Close.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:      cfg,
		stop:     make(chan struct{}),
		version:  cfg.Version,
		streams:  map[string]*stream{},
		cache:    newCache(cfg.CacheBlocks),
		coldLeft: cfg.ColdFor,
		perKey:   map[string]int{},
		perTag:   map[string]int{},
	}
	go func() {
		for {
			select {
			case <-e.stop:
				return
			case <-time.After(e.step()):
			}
		}
	}()
	return e
}

// Close stops the engine and ends all streams as failed.
func (e *Engine) Close() {
	close(e.stop)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failAll()
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.broken = false
}

// Chill turns the engine cold, as a restart or a lost weight cache does.
func (e *Engine) Chill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldLeft = max(1, e.cfg.ColdFor)
}

// Stats are counters for tests and reports.
type Stats struct {
	Admitted  int            // Requests admitted.
	Fallen    int            // Times fallen over in cold start.
	OverCold  int            // Requests admitted beyond the cold limit.
	Prefilled int            // Prompt tokens computed.
	Reused    int            // Prompt tokens read from the cache.
	PerID     map[string]int // Executions by request id.
	PerTag    map[string]int // Executions by the prompt's tag.
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Stats{
		Admitted: e.admitted, Fallen: e.fallen, OverCold: e.overCold, Prefilled: e.prefilled, Reused: e.reused,
		PerID: maps.Clone(e.perKey), PerTag: maps.Clone(e.perTag),
	}
}

// admit puts a request into the batch or the engine's own queue.
func (e *Engine) admit(s *stream) (failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admitted++
	e.perKey[s.id]++
	e.perTag[s.tag]++
	n := len(e.running) + len(e.waiting) + 1
	if e.faults.FailEvery > 0 && e.faults.hit(s.model, n) && e.admitted%e.faults.FailEvery == 0 {
		return true
	}
	hits := e.cache.hits(s.blocks)
	s.cached = min(s.prompt, hits*BlockTokens)
	s.left = s.prompt - s.cached
	e.prefilled += s.left
	e.reused += s.cached
	e.note(e.cache.put(s.blocks), s.blocks)
	s.delay = int(e.faults.Delay / e.cfg.Step)
	e.streams[s.id] = s
	e.waiting = append(e.waiting, s)
	if e.coldLeft > 0 && n > e.cfg.ColdLimit {
		e.overCold++
		e.fallen++
		e.coldLeft = e.cfg.ColdFor
		e.failAll()
		return true
	}
	return false
}

// note records cache events; it must be called with mu held.
func (e *Engine) note(evicted, stored []uint64) {
	for _, b := range stored {
		e.events = append(e.events, Event{Number: uint64(len(e.events)) + 1, Block: b})
	}
	for _, b := range evicted {
		e.events = append(e.events, Event{Number: uint64(len(e.events)) + 1, Block: b, Evicted: true})
	}
}

// failAll ends every stream; it must be called with mu held.
func (e *Engine) failAll() {
	for _, s := range append(e.running, e.waiting...) {
		s.end(true)
	}
	e.running, e.waiting = nil, nil
}

// step runs one batch step and returns the time until the next one.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.running) < e.cfg.MaxBatch && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	budget := e.cfg.PrefillTokens
	rest := e.running[:0]
	slow := false
	for _, s := range e.running {
		slow = slow || e.faults.hit(s.model, len(e.running))
		if !e.advance(s, &budget) {
			rest = append(rest, s)
		}
	}
	e.running = rest
	e.report()
	d := e.cfg.Step
	if e.faults.Slow > 1 && slow {
		d = time.Duration(float64(d) * e.faults.Slow)
	}
	return d
}

// advance prefills or decodes one stream and reports whether it has ended; it must be called with mu held.
func (e *Engine) advance(s *stream, budget *int) bool {
	if _, ended, _, _ := s.read(); ended {
		return true
	}
	if s.left > 0 {
		n := min(s.left, *budget)
		s.left -= n
		*budget -= n
		return false
	}
	if s.delay > 0 {
		s.delay--
		return false
	}
	if e.faults.HangAfter > 0 && s.tokens >= e.faults.HangAfter {
		return false
	}
	if !s.emit() {
		return false
	}
	if e.coldLeft > 0 {
		e.coldLeft--
	}
	return true
}

// report keeps the load for later publication; it must be called with mu held.
func (e *Engine) report() {
	now := time.Now()
	e.sequence++
	e.reports = append(e.reports, timedLoad{now, Load{
		Sequence: e.sequence, Running: len(e.running), Waiting: len(e.waiting),
		Cold: e.coldLeft > 0, Version: e.version,
	}})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.ReportLag {
		e.reports = e.reports[1:]
	}
}

// load returns the newest report that is at least ReportLag old.
func (e *Engine) load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reports) == 0 {
		return Load{Cold: e.coldLeft > 0, Version: e.version}
	}
	l := e.reports[0].load
	l.AgeMS = time.Since(e.reports[0].at).Milliseconds()
	return l
}
