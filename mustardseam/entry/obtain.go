package entry

import (
	"context"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

// Obtain waits until a backend server of a service has room for a job; the error is a *place.Refusal, or the cause of the
// end of the context. Another instance that knows all requests decides while it answers in time, and else this one.
func (s *Scheduler) Obtain(ctx context.Context, service string, j *place.Job) (*Grant, error) {
	if s.asks != nil {
		if g, ok, err := s.asks.Obtain(ctx, service, j); ok {
			return g, err
		}
	}
	type decision struct {
		grant   *Grant
		refusal *place.Refusal
	}
	decided := make(chan decision, 1)
	s.mu.Lock()
	w := s.ask(time.Now(), service, j, func(g *Grant, r *place.Refusal) { decided <- decision{g, r} })
	s.mu.Unlock()
	select {
	case d := <-decided:
		if d.refusal != nil {
			return nil, d.refusal
		}
		if s.asks != nil {
			s.asks.Placed(d.grant)
		}
		return d.grant, nil
	case <-ctx.Done():
		if s.withdraw(service, w) {
			return nil, context.Cause(ctx)
		}
		if d := <-decided; d.grant != nil {
			s.Finish(d.grant, place.Outcome{Left: true})
		}
		return nil, context.Cause(ctx)
	}
}

// ask places a job or lets it wait; decided is called with mu held, with a grant or a refusal. It returns the entry of a
// job that waits. mu is held.
func (s *Scheduler) ask(now time.Time, service string, j *place.Job, decided func(*Grant, *place.Refusal)) *place.Waiting {
	q := s.queue(service)
	// Those that wait go first, unless this job goes before all of them.
	if wait, known := q.Wait(now, j); known && wait == 0 {
		if g, _ := s.place(now, service, j, false, false); g != nil {
			decided(g, nil)
			return nil
		}
	}
	r := q.Refuse(now, j)
	if r == nil {
		r = place.RefuseQuiet(now, j, s.quiet(now, service, j))
	}
	if r != nil {
		decided(nil, r)
		return nil
	}
	w := &place.Waiting{Job: j, Until: j.Until()}
	q.Add(w)
	s.waiting[w] = func(g *Grant) {
		if g == nil {
			decided(nil, q.GiveUp(time.Now(), j))
			return
		}
		decided(g, nil)
	}
	s.keepPumping()
	return w
}

// giveUp returns the refusal of a job that waited in vain.
func (s *Scheduler) giveUp(service string, j *place.Job) *place.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue(service).GiveUp(time.Now(), j)
}

// withdraw takes back a job that waits; it is false when the job was decided.
func (s *Scheduler) withdraw(service string, w *place.Waiting) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, w)
	return s.queue(service).Remove(w)
}

// accept starts a job at the backend server that the hub chose. It returns nil where this instance knows that the backend
// server is not to be used: the hub may not have heard of it yet.
func (s *Scheduler) accept(svc *fleet.Service, j *place.Job, d hub.Decision) *Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	v := s.cfg.view()
	srv := v.Servers[d.Server.ID]
	if srv == nil || srv.Incarnation() != d.Server || srv.Service != svc.Name || srv.Draining {
		return nil
	}
	if _, out := v.Out[srv.DataCentre]; out {
		return nil
	}
	if p := v.Progress[svc.Name]; p.State == fleet.RolledBack && p.Target == srv.Version {
		return nil
	}
	if !s.board.Takes(now, srv, j) {
		return nil
	}
	if srv.Cold(now) && svc.ColdRate > 0 {
		if !s.cold.Take(now, srv, s.cfg.node, s.allowed(now, svc, srv, s.cfg.node)) {
			return nil
		}
	}
	g := s.start(now, v, svc, srv, j)
	g.First, g.Load = time.Duration(d.FirstMS)*time.Millisecond, d.Load
	return g
}
