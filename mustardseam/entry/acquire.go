package entry

import (
	"context"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// Acquire waits until a backend server of a service has room for a job. The error is a *placement.Refusal or the cause of the
// end of the context. The hub decides while it answers in time; otherwise this instance does.
func (s *Scheduler) Acquire(ctx context.Context, service string, j *placement.Job) (*Grant, error) {
	if s.remote != nil {
		if g, ok, err := s.remote.Place(ctx, service, j); ok {
			return g, err
		}
	}
	type decision struct {
		grant   *Grant
		refusal *placement.Refusal
	}
	decided := make(chan decision, 1)
	s.mu.Lock()
	w := s.placeOrQueue(time.Now(), service, j, func(g *Grant, r *placement.Refusal) { decided <- decision{g, r} })
	s.mu.Unlock()
	select {
	case d := <-decided:
		if d.refusal != nil {
			return nil, d.refusal
		}
		if s.remote != nil {
			s.remote.ReportStarted(d.grant)
		}
		return d.grant, nil
	case <-ctx.Done():
		if s.withdraw(service, w) {
			return nil, context.Cause(ctx)
		}
		if d := <-decided; d.grant != nil {
			s.Finish(d.grant, placement.Outcome{Abandoned: true})
		}
		return nil, context.Cause(ctx)
	}
}

// placeOrQueue places a job or queues it; decided is called with mu held, with either a grant or a refusal. It returns the
// queue entry of a job that was queued, otherwise nil. mu must be held.
func (s *Scheduler) placeOrQueue(
	now time.Time, service string, j *placement.Job, decided func(*Grant, *placement.Refusal),
) *placement.Waiting {
	q := s.queue(service)
	if svc := s.cfg.view().Config.Service(service); svc != nil && (q.Len() > 0 || j.Returned()) {
		j = s.board.WithEstimate(svc, j)
	}
	// Queued jobs go first, unless this job precedes all of them.
	if wait, known := q.PredictWait(now, j); known && wait == 0 {
		if g, _ := s.place(now, service, j, false, false); g != nil {
			decided(g, nil)
			return nil
		}
	}
	if svc := s.cfg.view().Config.Service(service); svc != nil {
		j = s.board.WithEstimate(svc, j)
	}
	r := q.RefuseLate(now, j)
	if r == nil {
		r = placement.RefuseBackoff(now, j, s.backoff(now, service, j))
	}
	if r != nil {
		decided(nil, r)
		return nil
	}
	w := &placement.Waiting{Job: j, PlaceBy: j.PlaceBy()}
	q.Add(now, w)
	s.pending[w] = func(g *Grant) {
		if g == nil {
			decided(nil, q.RefuseExpired(time.Now(), j))
			return
		}
		decided(g, nil)
	}
	s.startDispatchTimer()
	return w
}

// refuseUnplaced returns the refusal for a job that could not be placed in time.
func (s *Scheduler) refuseUnplaced(service string, j *placement.Job) *placement.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue(service).RefuseExpired(time.Now(), j)
}

// withdraw removes a queued job; it returns false when the job has already been decided.
func (s *Scheduler) withdraw(service string, w *placement.Waiting) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, w)
	return s.queue(service).Remove(w)
}

// accept starts a job at the backend server that the hub chose. It returns nil when this instance knows that the backend
// server must not be used; the hub may not have learned of it yet.
func (s *Scheduler) accept(svc *fleet.Service, j *placement.Job, d hub.Decision) *Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	v := s.cfg.view()
	srv := v.Servers[d.Server.ID]
	if srv == nil || srv.Incarnation() != d.Server || srv.Service != svc.Name || srv.Draining {
		return nil
	}
	if _, out := v.OutOfService[srv.DataCentre]; out {
		return nil
	}
	if p := v.Progress[svc.Name]; p.State == fleet.RolledBack && p.Target == srv.Version {
		return nil
	}
	if !s.board.Accepts(now, srv, j) {
		return nil
	}
	if s.serverLimiter.Wait(now, srv.ID, s.cfg.instance) > limitJitter {
		return nil
	}
	if srv.Cold(now) && svc.ColdRate > 0 {
		if !s.coldLimits.Take(now, srv, s.cfg.instance, s.coldAllowance(now, svc, srv, s.cfg.instance)) {
			return nil
		}
	}
	s.serverLimiter.Charge(now, srv.ID, s.cfg.instance)
	g := s.start(now, v, svc, srv, j)
	g.PredictedFirstEvent, g.Load = time.Duration(d.FirstEventMS)*time.Millisecond, d.Load
	return g
}
