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

// World is a site under load in virtual time.
type World struct {
	Clock    *clock.Clock
	Document operator.Document
	Engines  map[string]*engine.Engine
	Records  []*Record
	Tally    Tally
	OnToken  func(r *Record, gap time.Duration) // May be nil.
	OnDone   func(r *Record, o pool.Outcome)    // May be nil; called when the home accounts for an outcome.

	cfg     Config
	homes   map[string]*home // By pool.
	entries []*entry
	centres map[string]string    // Data centre by backend server.
	seen    map[uint64]bool      // Prompt blocks that some answered request computed.
	out     map[string]time.Time // Since when a data centre is out of service.
	end     time.Duration
}

// Tally counts what must not happen and what is shared by all requests.
type Tally struct {
	OverCold        int // Requests beyond the cold limit, granted after the home could know that the server was cold.
	OverColdUnknown int // Requests beyond the cold limit, granted before that.
	QueueInversions int // Shed for want of queue room while a lower tier waited.
	PassInversions  int // Shed after a lower tier was admitted on capacity that the request could have used.
	WaitInversions  int // Given up as too late while a lower tier waited, although it could have been in time.
	FalseNotRun     int // Refused as not run after it had run.
	Mixed           int // Answers that are not whole or not the request's own.
	OutOfService    int // Permits for a server of a data centre that has been out of service for 3 s.
	Useful          int // Prompt tokens computed for the first time, for answers in time.
}

// New returns a world whose arrivals are scheduled.
func New(cfg Config) *World {
	w := &World{
		Clock: &clock.Clock{}, Document: cfg.Site.Document, Engines: map[string]*engine.Engine{}, cfg: cfg,
		homes: map[string]*home{}, centres: map[string]string{}, seen: map[uint64]bool{},
		out: map[string]time.Time{},
	}
	for _, e := range cfg.Site.Entries {
		w.entries = append(w.entries, &entry{name: e.Name, centre: e.DataCentre})
	}
	for i, ec := range cfg.Site.Engines {
		w.Engines[ec.Name] = engine.New(w.Clock, ec, cfg.Cold != nil && cfg.Cold(ec.Name))
		w.centres[ec.Name] = cfg.Site.Document.BackendServers[i].DataCentre
	}
	for _, p := range w.Document.Pools {
		w.homes[p.Name] = newHome(w, p.Name, w.entries[0], 1)
	}
	for _, req := range cfg.Arrivals {
		w.Clock.At(req.At, func() { w.call(req, 0) })
	}
	return w
}

// Run runs the world until the offset; arrivals end before it, and all requests end by it.
func (w *World) Run(until time.Duration) {
	w.end = until
	polls := w.cfg.Polls
	if polls == 0 {
		polls = 500 * time.Millisecond
	}
	for i, ec := range w.cfg.Site.Engines {
		if w.server(ec.Name).Pool != site.Models {
			continue // Plain services publish no load.
		}
		// Polls are spread over the period, as those of a running home are.
		first := polls * time.Duration(i) / time.Duration(len(w.cfg.Site.Engines))
		w.Clock.Every(first, polls, func() bool {
			w.poll(ec.Name)
			return w.Clock.Since() < w.end
		})
	}
	for _, p := range w.Document.Pools {
		w.Clock.Every(tick, tick, func() bool {
			w.homes[p.Name].decide()
			return w.Clock.Since() < w.end
		})
	}
	w.Clock.Run(until)
}

// Apply puts a newer document in force at the homes.
func (w *World) Apply(d operator.Document) {
	w.Document = d
	for _, p := range d.Pools {
		h := w.homes[p.Name]
		h.cfg = pool.ConfigFor(d, p.Name, w.cfg.Site.Region, w.cfg.Seed)
		if !h.dead {
			h.sched.Configure(w.Clock.Now(), h.cfg)
			h.decide()
		}
	}
}

// Scheduler returns the scheduler of the pool's present home.
func (w *World) Scheduler(pool string) Scheduler { return w.homes[pool].sched }

// latency returns the one-way time between two data centres.
func latency(a, b string) time.Duration {
	if a == b {
		return withinCentre
	}
	return betweenCentres
}

// server returns the backend server of the name in the document in force.
func (w *World) server(name string) operator.BackendServer {
	i := slices.IndexFunc(w.Document.BackendServers, func(b operator.BackendServer) bool { return b.Name == name })
	return w.Document.BackendServers[i]
}

// route returns the route of the name in the document in force.
func (w *World) route(name string) operator.Route {
	i := slices.IndexFunc(w.Document.Routes, func(r operator.Route) bool { return r.Name == name })
	return w.Document.Routes[i]
}
