package drive

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/operator"
)

// home is the instance that schedules a pool's requests, together with the data that the simulation needs to check its
// decisions.
type home struct {
	sim            *Simulation
	pool           string
	entry          *entry
	epoch          uint64
	cfg            pool.Config
	scheduler      Scheduler
	dead           bool
	waiting        map[string]*Record   // Waiting requests by ask ID.
	knownWarm      map[string]bool      // Whether the latest report or outcome said that the server is warm, by server name.
	reportedColdAt map[string]time.Time // Time of the latest outcome that said that the server is cold, by server name.
}

func newHome(sim *Simulation, name string, e *entry, epoch uint64) *home {
	h := &home{
		sim: sim, pool: name, entry: e, epoch: epoch, cfg: pool.ConfigFor(sim.Document, name, sim.cfg.Site.Region, sim.cfg.Seed),
		waiting: map[string]*Record{}, knownWarm: map[string]bool{}, reportedColdAt: map[string]time.Time{},
	}
	h.scheduler = sim.cfg.NewScheduler(h.cfg)
	if p, ok := h.scheduler.(interface{ SetEpoch(uint64) }); ok {
		p.SetEpoch(epoch)
	}
	return h
}

func (h *home) receiveAsk(r *Record, a pool.Ask) {
	if h.dead || r.State != Open || r.currentAsk != a.ID {
		return
	}
	now := h.sim.Clock.Now()
	if r.reachedHomeAt.IsZero() {
		r.reachedHomeAt = now
	}
	h.waiting[a.ID] = r
	h.scheduler.Ask(now, a)
	h.decide()
}

func (h *home) withdraw(r *Record) {
	if h.dead || !h.scheduler.Withdraw(h.sim.Clock.Now(), r.currentAsk) {
		return
	}
	delete(h.waiting, r.currentAsk)
	h.countInversions(r, pool.DeadlineUnmeetable)
	h.decide()
}

func (h *home) receiveOutcome(r *Record, o pool.Outcome) {
	if h.dead {
		return
	}
	if o.Cold {
		h.knownWarm[r.Server] = false
		h.reportedColdAt[r.Server] = h.sim.Clock.Now()
	}
	h.scheduler.Done(h.sim.Clock.Now(), o)
	if h.sim.OnOutcome != nil {
		h.sim.OnOutcome(r, o)
	}
	h.decide()
}

func (h *home) receiveReport(r pool.Report, events []pool.CacheEvent) {
	if h.dead {
		return
	}
	now := h.sim.Clock.Now()
	if r.Cold || now.Add(-r.Age).After(h.reportedColdAt[r.Server]) {
		h.knownWarm[r.Server] = !r.Cold
	}
	h.scheduler.Report(now, r)
	h.scheduler.ObserveCacheEvents(now, events)
	h.decide()
}

// pollServer fetches a load report and cache events from the server and delivers them to the home of its pool.
func (sim *Simulation) pollServer(server string) {
	h := sim.homes[sim.serverByName(server).Pool]
	oneWay := latency(h.entry.centre, sim.serverCentres[server])
	sim.Clock.After(oneWay, func() {
		r, ok := sim.Engines[server].Report()
		if !ok {
			return
		}
		events := sim.Engines[server].Events()
		sim.Clock.After(oneWay, func() { h.receiveReport(r, events) })
	})
}

// decide runs the scheduler and carries out its decisions.
func (h *home) decide() {
	if h.dead {
		return
	}
	d := h.scheduler.Decide(h.sim.Clock.Now())
	for _, p := range d.Permits {
		h.grant(p)
	}
	for _, f := range d.Refusals {
		h.refuse(f)
	}
}

func (h *home) grant(p pool.Permit) {
	sim, r := h.sim, h.waiting[p.AskID]
	if r == nil {
		return
	}
	delete(h.waiting, p.AskID)
	h.markPassedOver(r, p)
	r.Server, r.Version, r.GrantedAt, r.believedWarm = p.Server, p.Version, sim.Clock.Now(), h.knownWarm[p.Server]
	r.ServerLoad = sim.Engines[p.Server].Load()
	if since, ok := sim.outOfServiceSince[sim.serverCentres[p.Server]]; ok && sim.Clock.Now().Sub(since) > outOfServiceWithin {
		sim.Counters.OutOfServicePermits++
	}
	sim.Clock.After(latency(h.entry.centre, r.entry.centre), func() { sim.usePermit(r, p) })
}

func (h *home) refuse(f pool.Refusal) {
	sim, r := h.sim, h.waiting[f.AskID]
	if r == nil {
		return
	}
	delete(h.waiting, f.AskID)
	h.countInversions(r, f.Reason)
	sim.Clock.After(latency(h.entry.centre, r.entry.centre), func() {
		if r.State == Open && !r.entry.dead {
			r.awaitsDecision = false
			sim.finish(r, Refused, string(f.Reason), f.RetryAfter)
		}
	})
}

// canServe reports whether the configuration allows the server to serve the request. A server of another version than
// the route's, which a rollout moves traffic to, counts only if r would take the place of a displaced request of the
// same route and this is r's first ask.
func (h *home) canServe(b operator.BackendServer, r, displaced *Record) bool {
	route := h.sim.routeByName(r.Route)
	if b.Pool != h.pool || b.Leaving || h.sim.Engines[b.Name].Refuses() {
		return false
	}
	if b.Version == route.Version {
		_, out := h.sim.outOfServiceSince[b.DataCentre]
		return !out
	}
	return displaced != nil && displaced.Route == r.Route && r.Asks == 1
}
