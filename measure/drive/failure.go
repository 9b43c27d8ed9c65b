package drive

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/site"
)

// Bounds of design 1.2: a data centre that is taken out gets no new work after 3 s. The configuration change takes
// configDelay of them.
const (
	outOfServiceWithin = 3 * time.Second
	configDelay        = time.Second
)

// KillEntry ends an entry instance with the requests that it has; its streams run on at the backend servers.
func (w *World) KillEntry(n int) {
	e := w.entries[n]
	e.dead = true
	for _, r := range w.Records {
		if r.entry == e && r.State == Open {
			w.finish(r, Broken, "connection", 0)
		}
	}
	w.Clock.After(suspicion, func() {
		for _, p := range w.Document.Pools {
			w.homes[p.Name].orphan(e)
		}
	})
}

// orphan drops the waiting requests of a dead entry instance.
func (h *home) orphan(e *entry) {
	if h.dead {
		return
	}
	now := h.w.Clock.Now()
	if o, ok := h.sched.(orphaner); ok {
		o.Orphan(now, e.name)
	}
	for _, r := range h.w.Records {
		if r.entry == e && h.waiting[r.ask] == r {
			h.sched.Withdraw(now, r.ask)
			delete(h.waiting, r.ask)
		}
	}
	h.decide()
}

// KillHome ends the home of a pool, which is the entry instance of the number. The next one takes over after the
// suspicion and the wait of design 2.1, starts from load reports, and gets all waiting requests again.
func (w *World) KillHome(pool string, n int) {
	old := w.homes[pool]
	old.dead = true
	w.KillEntry(n)
	w.Clock.After(suspicion+takeoverWait, func() {
		h := newHome(w, pool, w.live(n+1), old.epoch+1)
		w.homes[pool] = h
		if b, ok := h.sched.(interface{ Baseline(time.Time) }); ok {
			b.Baseline(w.Clock.Now())
		}
		for _, b := range h.cfg.Servers {
			if pool == site.Models {
				w.poll(b.Name)
			}
		}
		for _, r := range w.Records {
			if r.State == Open && r.waits && w.home(r) == h {
				w.send(r)
			}
		}
	})
}

// TakeOut takes a data centre out of service, or brings it back cold; the configuration is in force a little later.
func (w *World) TakeOut(centre string, out bool) {
	if out {
		w.out[centre] = w.Clock.Now()
	} else {
		delete(w.out, centre)
		for _, ec := range w.cfg.Site.Engines {
			if w.centres[ec.Name] == centre {
				w.Engines[ec.Name].Restart()
			}
		}
	}
	w.Clock.After(configDelay, func() {
		for _, dc := range w.Document.DataCentres {
			if dc.Name == centre {
				w.Apply(w.Document.WithDataCentre(dc.WithOutOfService(out)))
			}
		}
	})
}
