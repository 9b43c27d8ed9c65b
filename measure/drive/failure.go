package drive

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/site"
)

// A data centre that is taken out of service gets no new work after 3 s (design 1.2). Distributing the configuration
// change takes configDelay of that time.
const (
	outOfServiceWithin = 3 * time.Second
	configDelay        = time.Second
)

// KillEntry terminates entry instance n and its open requests. Its streams continue to run at the backend servers.
func (sim *Simulation) KillEntry(n int) {
	e := sim.entries[n]
	e.dead = true
	for _, r := range sim.Records {
		if r.entry == e && r.State == Open {
			sim.finish(r, ConnectionLost, "connection", 0)
		}
	}
	sim.Clock.After(failureDetectionTime, func() {
		for _, p := range sim.Document.Pools {
			sim.homes[p.Name].entryFailed(e)
		}
	})
}

// entryFailed removes the waiting requests of a failed entry instance.
func (h *home) entryFailed(e *entry) {
	if h.dead {
		return
	}
	now := h.sim.Clock.Now()
	if o, ok := h.scheduler.(entryFailureObserver); ok {
		o.Orphan(now, e.name)
	}
	for _, r := range h.sim.Records {
		if r.entry == e && h.waiting[r.currentAsk] == r {
			h.scheduler.Withdraw(now, r.currentAsk)
			delete(h.waiting, r.currentAsk)
		}
	}
	h.decide()
}

// KillHome terminates the home of a pool, which must be entry instance n. The next live instance takes over after the
// failure detection time and the wait of design 2.1, rebuilds its state from load reports, and receives all waiting
// requests again.
func (sim *Simulation) KillHome(pool string, n int) {
	old := sim.homes[pool]
	old.dead = true
	sim.KillEntry(n)
	sim.Clock.After(failureDetectionTime+takeoverWait, func() {
		h := newHome(sim, pool, sim.liveEntry(n+1), old.epoch+1)
		sim.homes[pool] = h
		if b, ok := h.scheduler.(interface{ Baseline(time.Time) }); ok {
			b.Baseline(sim.Clock.Now())
		}
		for _, b := range h.cfg.Servers {
			if pool == site.Models {
				sim.pollServer(b.Name)
			}
		}
		for _, r := range sim.Records {
			if r.State == Open && r.awaitsDecision && sim.homeOf(r) == h {
				sim.sendAsk(r)
			}
		}
	})
}

// SetOutOfService takes a data centre out of service or brings it back cold. The homes apply the change after
// configDelay.
func (sim *Simulation) SetOutOfService(centre string, out bool) {
	if out {
		sim.outOfServiceSince[centre] = sim.Clock.Now()
	} else {
		delete(sim.outOfServiceSince, centre)
		for _, ec := range sim.cfg.Site.Engines {
			if sim.serverCentres[ec.Name] == centre {
				sim.Engines[ec.Name].Restart()
			}
		}
	}
	sim.Clock.After(configDelay, func() {
		for _, dc := range sim.Document.DataCentres {
			if dc.Name == centre {
				sim.ApplyDocument(sim.Document.WithDataCentre(dc.WithOutOfService(out)))
			}
		}
	})
}
