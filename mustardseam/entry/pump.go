package entry

import (
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

// pumpEvery is how often waiting requests are looked at when nothing else happens.
const pumpEvery = 25 * time.Millisecond

// Pump places waiting requests after a change from outside.
func (s *Scheduler) Pump() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pump(time.Now())
}

// pump places waiting requests and refuses those whose time is over; mu is held.
func (s *Scheduler) pump(now time.Time) {
	for service, q := range s.queues {
		if q.Len() == 0 {
			continue
		}
		for _, w := range q.Expired(now) {
			s.hand(w, nil)
		}
		team := func(name string) int { return s.running[name] }
		full, deepest := newFull(), q.Deepest(now)
		q.Place(now, team, func(w *place.Waiting) (placed, more bool) {
			deep, node := w.Job.Deep(now), s.placedFor(w.Job)
			if full.covers(w.Job, node, deep) {
				return false, true
			}
			g, same := s.place(now, service, w.Job, true, full.preferred(w.Job, deep))
			if g == nil {
				full.add(w.Job, node, deep, same)
				return false, !full.all(deepest)
			}
			s.hand(w, g)
			return true, true
		})
	}
}

// hand gives a waiting request its answer; mu is held.
func (s *Scheduler) hand(w *place.Waiting, g *Grant) {
	if decided := s.waiting[w]; decided != nil {
		delete(s.waiting, w)
		decided(g)
	}
}

// keepPumping looks at waiting requests until there are none; mu is held.
func (s *Scheduler) keepPumping() {
	if s.pumping {
		return
	}
	s.pumping = true
	var again func()
	again = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cfg.contain("placing of waiting requests", func() { s.pump(time.Now()) })
		if len(s.waiting) == 0 {
			s.pumping = false
			return
		}
		time.AfterFunc(pumpEvery, again)
	}
	time.AfterFunc(pumpEvery, again)
}

// place starts a job at a backend server with room, or returns nil; then same reports for which other jobs that may fill
// backend servers as far there is none either. Full says that the preferred ones are known to have no room. mu is held.
func (s *Scheduler) place(now time.Time, service string, j *place.Job, waiting, full bool) (g *Grant, same sameFor) {
	v := s.cfg.view()
	svc := v.Config.Service(service)
	if svc == nil {
		return nil, sameForAll
	}
	s.lapse(now)
	c, cold := s.candidates(now, v, svc, s.placedFor(j))
	c.Full = full
	srv := s.board.Choose(now, c, j, j.Deep(now), waiting)
	if srv == nil {
		// Jobs differ in the backend servers that had them, and their instances in the cold ones that they may use and in
		// those that want nothing from them.
		switch {
		case s.board.AnyQuiet(now):
			return nil, sameForInstance
		case cold:
			return nil, sameForPreferred
		}
		return nil, sameForAll
	}
	if srv.Cold(now) && svc.ColdRate > 0 {
		node := s.placedFor(j)
		s.cold.Take(now, srv, node, s.allowed(now, svc, srv, node))
	}
	return s.start(now, v, svc, srv, j), sameForAll
}

// elsewhere reports whether another backend server has room for the request of a grant.
func (s *Scheduler) elsewhere(g *Grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, v := time.Now(), s.cfg.view()
	svc := v.Config.Service(g.Service.Name)
	if svc == nil {
		return false
	}
	j := *g.job
	j.Tried = append(slices.Clone(j.Tried), g.Server.Incarnation())
	c, _ := s.candidates(now, v, svc, s.placedFor(&j))
	srv := s.board.Choose(now, c, &j, j.Deep(now), false)
	return srv != nil && !slices.Contains(j.Tried, srv.Incarnation())
}

// quiet returns for how long all backend servers of a service want nothing from the instance of a job; mu is held.
func (s *Scheduler) quiet(now time.Time, service string, j *place.Job) time.Duration {
	v := s.cfg.view()
	svc := v.Config.Service(service)
	if svc == nil {
		return 0
	}
	c, _ := s.candidates(now, v, svc, s.placedFor(j))
	return s.board.Quiet(now, c, j)
}

// start records that a job is sent to a backend server; mu is held.
func (s *Scheduler) start(now time.Time, v *fleet.View, svc *fleet.Service, srv *fleet.Server, j *place.Job) *Grant {
	g := &Grant{Server: srv, Service: svc, First: s.board.First(svc, srv, j), Load: s.board.Load(srv), job: j}
	s.board.Start(now, srv, j)
	if svc.Engine {
		s.starts.Add(now)
	}
	s.exposed(v, srv)
	s.running[j.Team]++
	return g
}

// placedFor returns the instance that sends a job.
func (s *Scheduler) placedFor(j *place.Job) string {
	if j.Instance != "" {
		return j.Instance
	}
	return s.cfg.node
}

// candidates returns the backend servers that may get work from an instance, and whether there are cold ones. Those and
// the ones whose entries lapsed are spare.
func (s *Scheduler) candidates(now time.Time, v *fleet.View, svc *fleet.Service, node string) (c place.Candidates, cold bool) {
	l := s.listing(now, v, svc)
	c = place.Candidates{Service: svc, Servers: l.warm, Spare: l.lapsed}
	for _, srv := range l.cold {
		if s.cold.Free(now, srv, node, s.allowed(now, svc, srv, node)) {
			c.Spare = append(c.Spare[:len(c.Spare):len(c.Spare)], srv)
		}
	}
	return c, len(l.cold) > 0
}
