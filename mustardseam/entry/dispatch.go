package entry

import (
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// dispatchInterval is how often queued requests are reconsidered when no other event triggers it.
const dispatchInterval = 25 * time.Millisecond

// Dispatch places queued requests after a change outside the scheduler.
func (s *Scheduler) Dispatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch(time.Now())
}

// dispatch places queued requests and refuses those whose wait has timed out; mu must be held.
func (s *Scheduler) dispatch(now time.Time) {
	for service, q := range s.queues {
		if q.Len() == 0 {
			continue
		}
		for _, w := range q.RemoveExpired(now) {
			s.decide(w, nil)
		}
		team := func(name string) int { return s.runningByTeam[name] }
		noRoom, maxDepth := newSaturation(), q.MaxQueueDepth(now)
		q.Place(now, team, func(w *placement.Waiting) (placed, more bool) {
			depth, instance := w.Job.MaxQueueDepth(now), s.senderOf(w.Job)
			if noRoom.covers(w.Job, instance, depth) {
				return false, true
			}
			g, scope := s.place(now, service, w.Job, true, noRoom.preferredFull(w.Job, depth))
			if g == nil {
				noRoom.add(w.Job, instance, depth, scope)
				return false, !noRoom.allFull(maxDepth)
			}
			s.decide(w, g)
			return true, true
		})
	}
}

// decide calls the callback of a queued request; g is nil when its wait has timed out. mu must be held.
func (s *Scheduler) decide(w *placement.Waiting, g *Grant) {
	if decided := s.pending[w]; decided != nil {
		delete(s.pending, w)
		decided(g)
	}
}

// startDispatchTimer starts a timer that calls dispatch until no request is queued; mu must be held.
func (s *Scheduler) startDispatchTimer() {
	if s.dispatchTimerRunning {
		return
	}
	s.dispatchTimerRunning = true
	var tick func()
	tick = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cfg.recoverPanics("placing of waiting requests", func() { s.dispatch(time.Now()) })
		if len(s.pending) == 0 {
			s.dispatchTimerRunning = false
			return
		}
		time.AfterFunc(dispatchInterval, tick)
	}
	time.AfterFunc(dispatchInterval, tick)
}

// place starts a job at a backend server with room for it. If there is none, it returns nil and the scope of the failure: the
// other jobs, with at most the same queue depth, that cannot be placed either. preferredFull says that the preferred backend
// servers are known to have no room for the job. mu must be held.
func (s *Scheduler) place(
	now time.Time, service string, j *placement.Job, queued, preferredFull bool,
) (g *Grant, scope failureScope) {
	v := s.cfg.view()
	svc := v.Config.Service(service)
	if svc == nil {
		return nil, scopeAll
	}
	s.expireLoads(now)
	instance := s.senderOf(j)
	c := s.candidates(now, v, svc, instance)
	c.Full = preferredFull
	srv := s.board.Choose(now, c.Candidates, j, j.MaxQueueDepth(now), queued)
	if srv == nil {
		return nil, c.scope
	}
	if srv.Cold(now) && svc.ColdRate > 0 {
		s.coldLimits.Take(now, srv, instance, s.coldAllowance(now, svc, srv, instance))
	}
	s.serverLimiter.Charge(now, srv.ID, instance)
	return s.start(now, v, svc, srv, j), scopeAll
}

// canMove reports whether another backend server has room for the request of a grant.
func (s *Scheduler) canMove(g *Grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, v := time.Now(), s.cfg.view()
	svc := v.Config.Service(g.Service.Name)
	if svc == nil {
		return false
	}
	j := *g.job
	j.Tried = append(slices.Clone(j.Tried), g.Server.Incarnation())
	c := s.candidates(now, v, svc, s.senderOf(&j))
	srv := s.board.Choose(now, c.Candidates, &j, j.MaxQueueDepth(now), false)
	return srv != nil && !slices.Contains(j.Tried, srv.Incarnation())
}

// backoff returns how long it takes until a backend server of a service accepts requests again from the sender of a job; 0 if
// one accepts them now. mu must be held.
func (s *Scheduler) backoff(now time.Time, service string, j *placement.Job) time.Duration {
	v := s.cfg.view()
	svc := v.Config.Service(service)
	if svc == nil {
		return 0
	}
	c := s.candidates(now, v, svc, s.senderOf(j))
	backoff := s.board.BackoffLeft(now, c.Candidates, j)
	if c.limitWait == 0 || backoff == 0 && len(c.Servers)+len(c.Fallback) > 0 {
		return backoff
	}
	if backoff == 0 {
		return c.limitWait
	}
	return min(backoff, c.limitWait)
}

// start records that a job is sent to a backend server; mu must be held.
func (s *Scheduler) start(now time.Time, v *fleet.View, svc *fleet.Service, srv *fleet.Server, j *placement.Job) *Grant {
	g := &Grant{
		Server: srv, Service: svc, PredictedFirstEvent: s.board.PredictFirstEvent(svc, srv, j), Load: s.board.Load(srv), job: j,
		work: max(1, int(s.board.PredictServiceTime(svc, j).Milliseconds())),
	}
	s.board.Start(now, srv, j)
	if svc.Engine {
		s.engineRequestRate.Add(now)
	}
	s.countForRollout(v, srv)
	s.runningByTeam[j.Team] += g.work
	return g
}

// senderOf returns the instance that sends a job to its backend server.
func (s *Scheduler) senderOf(j *placement.Job) string {
	if j.Instance != "" {
		return j.Instance
	}
	return s.cfg.instance
}
