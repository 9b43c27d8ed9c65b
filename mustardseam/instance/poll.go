package instance

import (
	"time"

	concpool "github.com/sourcegraph/conc/pool"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/operator"
)

const (
	// pollIntervalPerServer is the part of the poll interval for each backend server. It limits a home to 200 polls a
	// second until maxPollInterval is reached, at 200 servers.
	pollIntervalPerServer = 5 * time.Millisecond
	minPollInterval       = 250 * time.Millisecond
	maxPollInterval       = time.Second
	pollWorkers           = 16
)

// pollInterval returns the time between two polls of a server's load report and cache events. It grows with the number
// of servers so that the polls of a home at full size stay within its share of a processor.
func pollInterval(servers int) time.Duration {
	return min(max(time.Duration(servers)*pollIntervalPerServer, minPollInterval), maxPollInterval)
}

// pollServers polls the load reports and cache events of the pool's backend servers while this instance serves the
// pool.
func (h *home) pollServers() {
	after := map[string]uint64{}
	for h.inst.sleep(pollInterval(h.serverCount())) {
		select {
		case <-h.stopped:
			return
		default:
		}
		h.mu.Lock()
		servers, serving := h.cfg.Servers, h.servingEpoch
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

// serverCount returns the number of the pool's backend servers.
func (h *home) serverCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.cfg.Servers)
}

// pollServer polls one backend server and returns the sequence number of the last cache event that was read.
func (h *home) pollServer(b operator.BackendServer, after uint64) uint64 {
	started := h.inst.cfg.Now()
	report, err := h.inst.engines.LoadReport(b.Name, b.Address)
	if err != nil {
		event.LoadReportFailed.Log(&h.inst.log).Str("server", b.Name).Err(err).Send()
		return after
	}
	var events []pool.CacheEvent
	if h.kind == operator.Engines {
		// Cache events only improve routing, so a failed read is left to the next poll.
		events, after, _ = h.inst.engines.CacheEvents(b.Name, b.Address, after)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	// The report may have been taken when the call began, so the duration of the call is added to its age.
	report.Age += h.inst.cfg.Now().Sub(started)
	h.pool.Report(h.inst.cfg.Now(), report)
	h.pool.ObserveCacheEvents(h.inst.cfg.Now(), events)
	h.schedule(h.inst.cfg.Now())
	return after
}
