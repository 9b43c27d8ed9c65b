package engine

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// reading is the load at one moment.
type reading struct {
	at      time.Time
	running int
	waiting int
	cold    bool
}

// note keeps the present load for later reports. Requests are admitted as they arrive (design 1.3), so that those for
// which the batch has room count as running at once, unless LateBatch is set.
func (e *Engine) note() {
	now := e.clock.Now()
	running := len(e.running)
	if !e.cfg.LateBatch {
		running = min(e.Load(), e.cfg.MaxBatch)
	}
	e.readings = append(e.readings, reading{now, running, e.Load() - running, e.Cold()})
	for len(e.readings) > 1 && now.Sub(e.readings[1].at) > e.cfg.ReportLag {
		e.readings = e.readings[1:]
	}
}

// Report returns the newest load report that is at least the lag old, and false when there is none.
func (e *Engine) Report() (pool.Report, bool) {
	if e.faults.Refuse {
		return pool.Report{}, false
	}
	e.sequence++
	last := reading{cold: e.born}
	for _, r := range e.readings {
		if e.clock.Now().Sub(r.at) >= e.cfg.ReportLag {
			last = r
		}
	}
	return pool.Report{
		Server: e.cfg.Name, Sequence: e.sequence, Age: e.cfg.ReportLag,
		Running: last.running, Waiting: last.waiting, Cold: last.cold, Version: e.cfg.Version,
	}, true
}

// publication is a cache event and the time from which on it is visible.
type publication struct {
	at    time.Time
	event pool.CacheEvent
}

// publish queues cache events, some of which are lost.
func (e *Engine) publish(blocks []uint64, evicted bool) {
	at := e.clock.Now().Add(e.cfg.EventLag)
	for _, b := range blocks {
		if e.rnd.Float64() >= e.cfg.EventLoss {
			e.events = append(e.events, publication{at, pool.CacheEvent{Server: e.cfg.Name, Block: b, Evicted: evicted}})
		}
	}
}

// Events returns the cache events that have become visible since the last call.
func (e *Engine) Events() []pool.CacheEvent {
	var out []pool.CacheEvent
	for len(e.events) > 0 && !e.events[0].at.After(e.clock.Now()) {
		out = append(out, e.events[0].event)
		e.events = e.events[1:]
	}
	return out
}
