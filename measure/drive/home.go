package drive

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/operator"
)

// home is the instance that holds a pool's queue, with what an observer knows of the queue.
type home struct {
	w       *World
	pool    string
	entry   *entry
	epoch   uint64
	cfg     pool.Config
	sched   Scheduler
	dead    bool
	waiting map[string]*Record   // By ask.
	warm    map[string]bool      // The last information on the server is that it is warm.
	coldAt  map[string]time.Time // When the last outcome said that the server is cold.
}

func newHome(w *World, name string, e *entry, epoch uint64) *home {
	h := &home{
		w: w, pool: name, entry: e, epoch: epoch, cfg: pool.ConfigFor(w.Document, name, w.cfg.Site.Region, w.cfg.Seed),
		waiting: map[string]*Record{}, warm: map[string]bool{}, coldAt: map[string]time.Time{},
	}
	h.sched = w.cfg.Make(h.cfg)
	if p, ok := h.sched.(interface{ SetEpoch(uint64) }); ok {
		p.SetEpoch(epoch)
	}
	return h
}

func (h *home) ask(r *Record, a pool.Ask) {
	if h.dead || r.State != Open || r.ask != a.ID {
		return
	}
	now := h.w.Clock.Now()
	if r.atHome.IsZero() {
		r.atHome = now
	}
	h.waiting[a.ID] = r
	h.sched.Ask(now, a)
	h.decide()
}

func (h *home) withdraw(r *Record) {
	if h.dead || !h.sched.Withdraw(h.w.Clock.Now(), r.ask) {
		return
	}
	delete(h.waiting, r.ask)
	h.judge(r, pool.DeadlineUnreachable)
	h.decide()
}

func (h *home) done(r *Record, o pool.Outcome) {
	if h.dead {
		return
	}
	if o.Cold {
		h.warm[r.Server] = false
		h.coldAt[r.Server] = h.w.Clock.Now()
	}
	h.sched.Done(h.w.Clock.Now(), o)
	if h.w.OnDone != nil {
		h.w.OnDone(r, o)
	}
	h.decide()
}

func (h *home) report(r pool.Report, events []pool.CacheEvent) {
	if h.dead {
		return
	}
	now := h.w.Clock.Now()
	if r.Cold || now.Add(-r.Age).After(h.coldAt[r.Server]) {
		h.warm[r.Server] = !r.Cold
	}
	h.sched.Report(now, r)
	h.sched.ObserveCacheEvents(now, events)
	h.decide()
}

// poll fetches a load report and cache events for the home of the server's pool.
func (w *World) poll(server string) {
	h := w.homes[w.server(server).Pool]
	trip := latency(h.entry.centre, w.centres[server])
	w.Clock.After(trip, func() {
		r, ok := w.Engines[server].Report()
		if !ok {
			return
		}
		events := w.Engines[server].Events()
		w.Clock.After(trip, func() { h.report(r, events) })
	})
}

// decide carries out what the scheduler decides.
func (h *home) decide() {
	if h.dead {
		return
	}
	d := h.sched.Decide(h.w.Clock.Now())
	for _, p := range d.Permits {
		h.grant(p)
	}
	for _, f := range d.Refusals {
		h.refuse(f)
	}
}

func (h *home) grant(p pool.Permit) {
	w, r := h.w, h.waiting[p.Ask]
	if r == nil {
		return
	}
	delete(h.waiting, p.Ask)
	h.pass(r, p)
	r.Server, r.Version, r.Granted, r.warm = p.Server, p.Version, w.Clock.Now(), h.warm[p.Server]
	r.Load = w.Engines[p.Server].Load()
	if since, ok := w.out[w.centres[p.Server]]; ok && w.Clock.Now().Sub(since) > outOfServiceWithin {
		w.Tally.OutOfService++
	}
	w.Clock.After(latency(h.entry.centre, r.entry.centre), func() { w.start(r, p) })
}

func (h *home) refuse(f pool.Refusal) {
	w, r := h.w, h.waiting[f.Ask]
	if r == nil {
		return
	}
	delete(h.waiting, f.Ask)
	h.judge(r, f.Reason)
	w.Clock.After(latency(h.entry.centre, r.entry.centre), func() {
		if r.State == Open && !r.entry.dead {
			r.waits = false
			w.finish(r, Refused, string(f.Reason), f.RetryAfter)
		}
	})
}

// serves reports whether the server may serve the request by the configuration. A version that traffic moves to
// counts for those requests only that take the place of one of the same route.
func (h *home) serves(b operator.BackendServer, r, instead *Record) bool {
	route := h.w.route(r.Route)
	if b.Pool != h.pool || b.Leaving || h.w.Engines[b.Name].Refuses() {
		return false
	}
	if b.Version == route.Version {
		_, out := h.w.out[b.DataCentre]
		return !out
	}
	return instead != nil && instead.Route == r.Route && r.Asks == 1
}
