package drive

import (
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/measure/clock"
	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/measure/site"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/operator"
)

// Simulation runs a site under load in virtual time.
type Simulation struct {
	Clock     *clock.Clock
	Document  operator.Document
	Engines   map[string]*engine.Engine
	Records   []*Record
	Counters  Counters
	OnToken   func(r *Record, gap time.Duration) // Called for each token after the first; may be nil.
	OnOutcome func(r *Record, o pool.Outcome)    // Called after the home has processed an outcome; may be nil.

	cfg               Config
	homes             map[string]*home // Current home by pool name.
	entries           []*entry
	serverCentres     map[string]string    // Data centre by backend server name.
	computedBlocks    map[uint64]bool      // Prompt blocks that were part of a request answered in time.
	outOfServiceSince map[string]time.Time // Time since which a data centre has been out of service, by name.
	end               time.Duration        // Offset at which the simulation stops.
}

// Counters holds violation counts and totals over all requests of a simulation.
type Counters struct {
	OverColdLimit            int // Requests beyond the cold limit, granted after the home could know that the server was cold.
	OverColdLimitUnannounced int // Requests beyond the cold limit, granted before the home could know of it.
	QueueFullInversions      int // Requests shed because the queue was full while a lower tier was waiting.
	PassedOverInversions     int // Requests shed after a lower tier was admitted on capacity that they could have used.
	DeadlineInversions       int // Requests given up as too late while a lower tier waited, although they could have been in time.
	FalseNotRun              int // Requests refused as not run after they had run.
	WrongAnswers             int // Answers that are incomplete or belong to another ask.
	OutOfServicePermits      int // Permits for servers of a data centre that had been out of service for more than 3 s.
	UsefulPromptTokens       int // Prompt tokens computed for the first time, counted only for answers in time.
}

// New returns a simulation with all arrivals of the configuration scheduled.
func New(cfg Config) *Simulation {
	sim := &Simulation{
		Clock: &clock.Clock{}, Document: cfg.Site.Document, Engines: map[string]*engine.Engine{}, cfg: cfg,
		homes: map[string]*home{}, serverCentres: map[string]string{}, computedBlocks: map[uint64]bool{},
		outOfServiceSince: map[string]time.Time{},
	}
	for _, e := range cfg.Site.Entries {
		sim.entries = append(sim.entries, &entry{name: e.Name, centre: e.DataCentre})
	}
	for i, ec := range cfg.Site.Engines {
		sim.Engines[ec.Name] = engine.New(sim.Clock, ec, cfg.ColdStart != nil && cfg.ColdStart(ec.Name))
		sim.serverCentres[ec.Name] = cfg.Site.Document.BackendServers[i].DataCentre
	}
	for _, p := range sim.Document.Pools {
		sim.homes[p.Name] = newHome(sim, p.Name, sim.entries[0], 1)
	}
	for _, req := range cfg.Arrivals {
		sim.Clock.At(req.At, func() { sim.receiveCall(req, 0) })
	}
	return sim
}

// Run runs the simulation until the given offset. Arrivals must end before the offset, and all requests must end by it.
func (sim *Simulation) Run(until time.Duration) {
	sim.end = until
	interval := sim.cfg.ReportInterval
	if interval == 0 {
		interval = 500 * time.Millisecond
	}
	for i, ec := range sim.cfg.Site.Engines {
		if sim.serverByName(ec.Name).Pool != site.Models {
			continue // Plain services publish no load reports.
		}
		// Spread the polls evenly over the interval, as a running home does.
		first := interval * time.Duration(i) / time.Duration(len(sim.cfg.Site.Engines))
		sim.Clock.Every(first, interval, func() bool {
			sim.pollServer(ec.Name)
			return sim.Clock.Since() < sim.end
		})
	}
	for _, p := range sim.Document.Pools {
		sim.Clock.Every(decisionInterval, decisionInterval, func() bool {
			sim.homes[p.Name].decide()
			return sim.Clock.Since() < sim.end
		})
	}
	sim.Clock.Run(until)
}

// ApplyDocument replaces the configuration document and reconfigures all homes that are alive.
func (sim *Simulation) ApplyDocument(d operator.Document) {
	sim.Document = d
	for _, p := range d.Pools {
		h := sim.homes[p.Name]
		h.cfg = pool.ConfigFor(d, p.Name, sim.cfg.Site.Region, sim.cfg.Seed)
		if !h.dead {
			h.scheduler.Configure(sim.Clock.Now(), h.cfg)
			h.decide()
		}
	}
}

// Scheduler returns the scheduler of the pool's current home.
func (sim *Simulation) Scheduler(pool string) Scheduler { return sim.homes[pool].scheduler }

// latency returns the one-way network latency between two data centres.
func latency(a, b string) time.Duration {
	if a == b {
		return intraCentreLatency
	}
	return interCentreLatency
}

// serverByName returns the named backend server from the current document. It panics if there is none.
func (sim *Simulation) serverByName(name string) operator.BackendServer {
	i := slices.IndexFunc(sim.Document.BackendServers, func(b operator.BackendServer) bool { return b.Name == name })
	return sim.Document.BackendServers[i]
}

// routeByName returns the named route from the current document. It panics if there is none.
func (sim *Simulation) routeByName(name string) operator.Route {
	i := slices.IndexFunc(sim.Document.Routes, func(r operator.Route) bool { return r.Name == name })
	return sim.Document.Routes[i]
}
