package engine

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// loadSample is the load at one point in time.
type loadSample struct {
	at      time.Time
	running int
	waiting int
	cold    bool
}

// recordLoad stores the current load for later reports. Requests are admitted as they arrive (design 1.3), so those that
// fit in the batch count as running at once, unless ReportsLagAdmission is set.
func (e *Engine) recordLoad() {
	now := e.clock.Now()
	running := len(e.running)
	if !e.cfg.ReportsLagAdmission {
		running = min(e.Load(), e.cfg.MaxBatch)
	}
	e.loadSamples = append(e.loadSamples, loadSample{now, running, e.Load() - running, e.Cold()})
	for len(e.loadSamples) > 1 && now.Sub(e.loadSamples[1].at) > e.cfg.ReportLag {
		e.loadSamples = e.loadSamples[1:]
	}
}

// Report returns the newest load report that is at least ReportLag old. It returns false if the engine refuses
// connections.
func (e *Engine) Report() (pool.Report, bool) {
	if e.faults.Refuse {
		return pool.Report{}, false
	}
	e.sequence++
	last := loadSample{cold: e.startedCold}
	for _, r := range e.loadSamples {
		if e.clock.Now().Sub(r.at) >= e.cfg.ReportLag {
			last = r
		}
	}
	return pool.Report{
		Server: e.cfg.Name, Sequence: e.sequence, Age: e.cfg.ReportLag,
		Running: last.running, Waiting: last.waiting, Cold: last.cold, Version: e.cfg.Version,
	}, true
}

// pendingEvent is a cache event with the time at which it becomes visible.
type pendingEvent struct {
	visibleAt time.Time
	event     pool.CacheEvent
}

// publish queues cache events for publication. It drops the share EventLoss of them.
func (e *Engine) publish(blocks []uint64, evicted bool) {
	at := e.clock.Now().Add(e.cfg.EventLag)
	for _, b := range blocks {
		if e.rnd.Float64() >= e.cfg.EventLoss {
			e.events = append(e.events, pendingEvent{at, pool.CacheEvent{Server: e.cfg.Name, Block: b, Evicted: evicted}})
		}
	}
}

// Events returns the cache events that have become visible since the previous call.
func (e *Engine) Events() []pool.CacheEvent {
	var out []pool.CacheEvent
	for len(e.events) > 0 && !e.events[0].visibleAt.After(e.clock.Now()) {
		out = append(out, e.events[0].event)
		e.events = e.events[1:]
	}
	return out
}
