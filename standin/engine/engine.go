package engine

import (
	"sync"
	"time"
)

// BlockTokens is the number of tokens in a prompt block.
const BlockTokens = 16

// Engine runs requests in a simulated batch; its methods are safe for concurrent use.
type Engine struct {
	cfg      Config
	stop     chan struct{} // Closed by Close.
	done     chan struct{} // Closed when the batch has stopped.
	stopOnce sync.Once     // Guards the closing of stop.

	mu                  sync.Mutex // Guards the fields below.
	faults              Faults
	version             string
	role                string
	adapters            []string
	highestFencingToken uint64
	running             []*stream
	waiting             []*stream
	streams             map[string]*stream
	admissionOrder      []string // IDs of the retained streams in the order of admission.
	cache               *cache
	events              eventLog
	coldLeft            int
	unannouncedCold     bool      // The engine has been cold since an unannounced cold start.
	coldReportedAt      time.Time // Time of the first published load report that showed it; zero before.
	sequence            uint64
	reports             []timedLoad
	connectionBroken    bool
	stats               Stats
}

// New starts an engine that runs until Close.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:      cfg,
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		version:  cfg.Version,
		streams:  map[string]*stream{},
		cache:    newCache(cfg.CacheBlocks),
		events:   eventLog{limit: cfg.Remember},
		coldLeft: cfg.ColdFor,
		stats:    Stats{PerID: map[string]int{}, PerTag: map[string]int{}},
	}
	go func() {
		defer close(e.done)
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

// Close stops the engine and marks all running streams as failed.
func (e *Engine) Close() {
	e.stopOnce.Do(func() { close(e.stop) })
	<-e.done
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failAll()
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.connectionBroken = false
}

// Chill puts the engine into an unannounced cold start, as a restart or the loss of its weight cache does.
func (e *Engine) Chill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldLeft = max(1, e.cfg.ColdFor)
	e.unannouncedCold, e.coldReportedAt = true, time.Time{}
}

// admit adds a request to the engine's queue and reports whether the engine failed it instead.
func (e *Engine) admit(s *stream) (failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.recordExecution(s.id, s.tag)
	n := len(e.running) + len(e.waiting) + 1
	if e.faults.FailEvery > 0 && e.faults.applies(s.model, n) && e.stats.Admitted%e.faults.FailEvery == 0 {
		return true
	}
	e.prefill(s)
	s.delaySteps = int(e.faults.Delay / e.cfg.Step)
	e.retain(s)
	e.waiting = append(e.waiting, s)
	if e.coldLeft == 0 || n <= e.cfg.ColdLimit {
		return false
	}
	e.stats.OverCold++
	if e.unannouncedCold && (e.coldReportedAt.IsZero() || time.Since(e.coldReportedAt) < e.cfg.Notice) {
		e.stats.Unannounced++
	}
	e.stats.Fallen++
	e.coldLeft = e.cfg.ColdFor
	e.failAll()
	return true
}

// prefill counts the prompt tokens found in the cache and stores the other blocks; it must be called with mu held.
func (e *Engine) prefill(s *stream) {
	s.cachedTokens = min(s.promptTokens, e.cache.hits(s.blocks)*BlockTokens)
	s.prefillTokensLeft = s.promptTokens - s.cachedTokens
	e.stats.Prefilled += s.prefillTokensLeft
	e.stats.Reused += s.cachedTokens
	evicted := e.cache.put(s.blocks)
	now := time.Now()
	for _, b := range s.blocks {
		e.events.add(now, b, false, e.faults.GapEvery)
	}
	for _, b := range evicted {
		e.events.add(now, b, true, e.faults.GapEvery)
	}
}

// retain keeps a stream for a resume and evicts the oldest ones above the limit. A running stream is evicted only above
// twice the limit, so that streams that hang cannot accumulate. It must be called with mu held.
func (e *Engine) retain(s *stream) {
	if e.streams[s.id] == nil {
		e.admissionOrder = append(e.admissionOrder, s.id)
	}
	e.streams[s.id] = s
	for len(e.admissionOrder) > e.cfg.Remember {
		oldest := e.admissionOrder[0]
		if _, state, _ := e.streams[oldest].read(); state == running && len(e.admissionOrder) <= 2*e.cfg.Remember {
			return
		}
		delete(e.streams, oldest)
		e.admissionOrder = e.admissionOrder[1:]
	}
}

// failAll marks every stream as failed; it must be called with mu held.
func (e *Engine) failAll() {
	for _, list := range [][]*stream{e.running, e.waiting} {
		for _, s := range list {
			s.stop(failed)
		}
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
	remaining := e.running[:0]
	slow := false
	for _, s := range e.running {
		slow = slow || e.faults.applies(s.model, len(e.running))
		if !e.advance(s, &budget) {
			remaining = append(remaining, s)
		}
	}
	clear(e.running[len(remaining):])
	e.running = remaining
	e.recordLoad()
	d := e.cfg.Step
	if e.faults.Slow > 1 && slow {
		d = time.Duration(float64(d) * e.faults.Slow)
	}
	return d
}

// advance runs one prefill or decoding step of a stream and reports whether the stream has ended; it must be called
// with mu held.
func (e *Engine) advance(s *stream, budget *int) bool {
	tokens, state, _ := s.read()
	if state != running {
		return true
	}
	if s.prefillTokensLeft > 0 {
		n := min(s.prefillTokensLeft, *budget)
		s.prefillTokensLeft -= n
		*budget -= n
		return false
	}
	if s.delaySteps > 0 {
		s.delaySteps--
		return false
	}
	if e.faults.HangAfter > 0 && tokens >= e.faults.HangAfter {
		return false
	}
	if !s.emit() {
		return false
	}
	if e.coldLeft > 0 {
		e.coldLeft--
		e.unannouncedCold = e.unannouncedCold && e.coldLeft > 0
	}
	return true
}
