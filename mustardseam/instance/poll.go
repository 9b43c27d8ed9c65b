package instance

import (
	"time"

	concpool "github.com/sourcegraph/conc/pool"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/operator"
)

const (
	pollInterval = 250 * time.Millisecond // Of load reports and cache events.
	pollWorkers  = 16
)

// pollServers reads the load reports and cache events of the pool's backend servers while this instance serves.
func (h *home) pollServers() {
	after := map[string]uint64{}
	for h.inst.sleep(pollInterval) {
		select {
		case <-h.stopped:
			return
		default:
		}
		h.mu.Lock()
		servers, serving := h.cfg.Servers, h.serving
		h.mu.Unlock()
		if serving == 0 {
			clear(after)
			continue
		}
		next := make([]uint64, len(servers))
		p := concpool.New().WithMaxGoroutines(pollWorkers)
		for n, b := range servers {
			p.Go(func() { next[n] = h.pollServer(b, after[b.Name]) })
		}
		p.Wait()
		for n, b := range servers {
			after[b.Name] = next[n]
		}
	}
}

// pollServer reads one backend server and returns the number of the last cache event.
func (h *home) pollServer(b operator.BackendServer, after uint64) uint64 {
	started := h.inst.cfg.Now()
	report, err := h.inst.engines.Load(b.Name, b.Address)
	if err != nil {
		event.ReportFailed.On(&h.inst.log).Str("server", b.Name).Err(err).Send()
		return after
	}
	var events []pool.CacheEvent
	if h.kind == operator.Engines {
		// Cache events only improve routing, so a failed read is made up for by the next one.
		events, after, _ = h.inst.engines.CacheEvents(b.Name, b.Address, after)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	// The report may have been taken when the call began, so its age counts from there.
	report.Age += h.inst.cfg.Now().Sub(started)
	h.pool.Report(h.inst.cfg.Now(), report)
	h.pool.Cache(h.inst.cfg.Now(), events)
	h.decide(h.inst.cfg.Now())
	return after
}
