package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/place"
	"github.com/mustardseam/mustardseam/mustardseam/share"
)

const (
	// waitPart is the part of the caller's patience after which a request that was not placed is refused, so that the caller
	// has time left to come back.
	waitPart = 0.5
	// leastPatience, objectivePatience and gapPatience say when callers abandon a stream that shows nothing.
	leastPatience     = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
	// deepAfter is the part of the objective after which a request of a high tier may wait in the queue of a backend server.
	deepAfter = 0.25
	// deepest is how far the highest tier may fill the queue of a backend server.
	deepest = 2
	// returnPart is the part of the time left that callers are asked to stay away at most; they follow no more.
	returnPart = 1.0 / 3
	// leastReturn is the shortest time after which a caller is asked to come back.
	leastReturn = 150 * time.Millisecond
	// pumpEvery is how often waiting requests are looked at when nothing else happens.
	pumpEvery = 25 * time.Millisecond
)

// Scheduler decides which request goes to which backend server and when; its methods are safe for concurrent use.
type Scheduler struct {
	cfg schedulerConfig

	mu        sync.Mutex
	board     *place.Board                     // Guarded by mu, as all that follow.
	queues    map[string]*place.Queue          // By service.
	grants    map[*place.Waiting]chan<- *Grant // Of waiting requests.
	running   map[string]int                   // By team.
	quota     *share.Quota
	budget    *share.Budget
	cold      *share.Cold
	nodes     []string // Instances that are believed to run, this one included.
	pumping   bool
	starts    place.Rate          // Requests that this instance sent to engines.
	exposures map[string]exposure // By service.
}

// schedulerConfig says whom a scheduler asks.
type schedulerConfig struct {
	node       string
	dataCentre string
	bounds     Bounds
	view       func() *fleet.View
}

// Grant is the right to send a request to a backend server; Finish must be called for it.
type Grant struct {
	Server  *fleet.Server
	Service *fleet.Service
	First   time.Duration // Predicted time to the first event.
	Load    place.Load    // Of the backend server before, by all instances.
	job     *place.Job
}

func newScheduler(cfg schedulerConfig) *Scheduler {
	cfg.bounds.Quota.Start = time.Now()
	return &Scheduler{
		cfg: cfg, board: place.NewBoard(place.BoardConfig{Self: cfg.node}), queues: map[string]*place.Queue{},
		grants: map[*place.Waiting]chan<- *Grant{}, running: map[string]int{}, nodes: []string{cfg.node},
		quota: share.NewQuota(cfg.bounds.Quota), budget: share.NewBudget(cfg.bounds.Budget),
		cold: share.NewCold(cfg.bounds.Cold), exposures: map[string]exposure{},
	}
}

// Admit checks a request against the quota of its team.
func (s *Scheduler) Admit(team *fleet.Team, units float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	ok, retry := s.quota.Admit(now, team, units, len(s.nodes))
	if !ok {
		level, standing, asked := s.quota.Level(now, team.Name)
		return &Refusal{After: retry, Reason: fmt.Sprintf(
			"quota of the team is used up: %.0f units left (%.0f of the standing share), %.0f expected from all, %.0f asked",
			level, standing, asked, units)}
	}
	return nil
}

// Return gives back the units of a request that was not run.
func (s *Scheduler) Return(team *fleet.Team, units float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota.Return(time.Now(), team.Name, units)
}

// First takes in a first request for a service.
func (s *Scheduler) First(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.First(service, len(s.nodes))
}

// Retry takes a retry from the budget of a service when it has one.
func (s *Scheduler) Retry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Allow(time.Now(), service, len(s.nodes))
}

// Obtain waits until a backend server of a service has room for a job; the error is a *Refusal, or the cause of the end
// of the context.
func (s *Scheduler) Obtain(ctx context.Context, service string, j *place.Job) (*Grant, error) {
	now := time.Now()
	s.mu.Lock()
	q := s.queue(service)
	// Those that wait go first, unless this job goes before all of them.
	if wait, known := q.Wait(now, j); known && wait == 0 {
		if g := s.place(now, service, j, false); g != nil {
			s.mu.Unlock()
			return g, nil
		}
	}
	until := j.Arrived.Add(patience(j))
	if r := s.hopeless(now, q, j, until); r != nil {
		s.mu.Unlock()
		return nil, r
	}
	granted := make(chan *Grant, 1)
	w := &place.Waiting{Job: j, Until: until}
	q.Add(w)
	s.grants[w] = granted
	s.keepPumping()
	s.mu.Unlock()
	select {
	case g := <-granted:
		if g == nil {
			return nil, &Refusal{Reason: "no backend server had room in time", After: s.comeBack(service, j)}
		}
		return g, nil
	case <-ctx.Done():
		return nil, s.withdraw(ctx, service, w, granted)
	}
}

// withdraw takes back a job that waits and returns the cause.
func (s *Scheduler) withdraw(ctx context.Context, service string, w *place.Waiting, granted <-chan *Grant) error {
	s.mu.Lock()
	removed := s.queue(service).Remove(w)
	delete(s.grants, w)
	s.mu.Unlock()
	if !removed {
		if g := <-granted; g != nil {
			s.Finish(g, place.Outcome{Left: true})
		}
	}
	return context.Cause(ctx)
}

// hopeless returns a refusal when a job would wait for longer than its caller is willing to.
func (s *Scheduler) hopeless(now time.Time, q *place.Queue, j *place.Job, until time.Time) *Refusal {
	if !until.After(now) {
		return &Refusal{Reason: "time for placing is over", After: s.bounded(now, j, leastReturn)}
	}
	wait, known := q.Wait(now, j)
	if !known || now.Add(wait).Before(until) {
		return nil
	}
	return &Refusal{Reason: "too much waits already", After: s.bounded(now, j, wait)}
}

// comeBack returns when a caller that waited in vain is to try again.
func (s *Scheduler) comeBack(service string, j *place.Job) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	wait, known := s.queue(service).Wait(now, j)
	if !known {
		wait = leastReturn
	}
	// It has waited in vain, so the load is no short peak.
	return s.bounded(now, j, max(wait, now.Sub(j.Arrived)))
}

// bounded keeps the time after which a caller comes back within what callers follow.
func (s *Scheduler) bounded(now time.Time, j *place.Job, after time.Duration) time.Duration {
	left := time.Duration(float64(j.Deadline.Sub(now)) * returnPart)
	return max(0, min(max(after, leastReturn), left))
}

// patience returns how long a job may wait for a place.
func patience(j *place.Job) time.Duration {
	limit := j.Deadline.Sub(j.Arrived)
	if j.Gap > 0 {
		limit = min(limit, max(leastPatience, objectivePatience*j.Objective.Sub(j.Arrived), gapPatience*j.Gap))
	}
	return time.Duration(waitPart * float64(limit))
}

// Began records the first event of a request.
func (s *Scheduler) Began(g *Grant, first time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.Began(time.Now(), g.Service, g.Server, g.job, first)
}

// Paced records the pace of a stream that goes on.
func (s *Scheduler) Paced(g *Grant, pace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.Paced(g.Service, g.Server, pace)
}

// Finish records the end of a request at a backend server and places those that wait.
func (s *Scheduler) Finish(g *Grant, o place.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.board.Finish(now, g.Service, g.Server, g.job, o)
	if s.running[g.job.Team]--; s.running[g.job.Team] <= 0 {
		delete(s.running, g.job.Team)
	}
	s.pump(now)
}

// Answered returns when the backend server of a grant last showed a sign of life.
func (s *Scheduler) Answered(g *Grant) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.Answered(g.Server)
}

// Sick reports whether a backend server is avoided.
func (s *Scheduler) Sick(srv *fleet.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.Sick(time.Now(), srv)
}

// Pump places waiting requests after a change from outside.
func (s *Scheduler) Pump() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pump(time.Now())
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.grants)
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
		q.Place(now, team, func(w *place.Waiting) (bool, bool) {
			g := s.place(now, service, w.Job, true)
			if g == nil {
				return false, false
			}
			s.hand(w, g)
			return true, false
		})
	}
}

// hand gives a waiting request its answer; mu is held.
func (s *Scheduler) hand(w *place.Waiting, g *Grant) {
	if granted := s.grants[w]; granted != nil {
		delete(s.grants, w)
		granted <- g
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
		s.pump(time.Now())
		if len(s.grants) == 0 {
			s.pumping = false
			return
		}
		time.AfterFunc(pumpEvery, again)
	}
	time.AfterFunc(pumpEvery, again)
}

// place starts a job at a backend server with room, or returns nil; mu is held.
func (s *Scheduler) place(now time.Time, service string, j *place.Job, waiting bool) *Grant {
	v := s.cfg.view()
	svc := v.Config.Service(service)
	if svc == nil {
		return nil
	}
	deep := 0
	if j.Tier < deepest && now.Sub(j.Arrived) > time.Duration(deepAfter*float64(j.Objective.Sub(j.Arrived))) {
		deep = deepest - max(0, j.Tier)
	}
	warm, spare := s.candidates(now, v, svc)
	srv := s.board.Choose(now, svc, warm, j, deep, waiting)
	if srv == nil {
		if srv = s.board.Choose(now, svc, spare, j, 0, waiting); srv == nil {
			return nil
		}
	}
	if srv.Cold(now) && svc.ColdRate > 0 {
		s.cold.Take(now, srv, s.cold.Allowed(svc.ColdRate, srv, s.cfg.node, s.nodes))
	}
	g := &Grant{Server: srv, Service: svc, First: s.board.First(svc, srv, j), Load: s.board.Load(srv), job: j}
	s.board.Start(now, srv, j)
	if svc.Engine {
		s.starts.Add(now)
	}
	s.exposed(v, srv)
	s.running[j.Team]++
	return g
}

// candidates returns the backend servers that may get work: those that are warm and listed, and those to fall back on.
func (s *Scheduler) candidates(now time.Time, v *fleet.View, svc *fleet.Service) (warm, spare []*fleet.Server) {
	versions := s.versions(now, v, svc.Name)
	for _, srv := range v.Of(svc.Name) {
		_, out := v.Out[srv.DataCentre]
		switch {
		case srv.Draining || out || !versions(srv.Version):
		case srv.Cold(now) && svc.ColdRate > 0:
			if s.cold.Free(now, srv, s.cold.Allowed(svc.ColdRate, srv, s.cfg.node, s.nodes)) {
				spare = append(spare, srv)
			}
		case !srv.Lapsed.IsZero():
			spare = append(spare, srv)
		default:
			warm = append(warm, srv)
		}
	}
	return warm, spare
}

func (s *Scheduler) queue(service string) *place.Queue {
	q := s.queues[service]
	if q == nil {
		q = &place.Queue{}
		s.queues[service] = q
	}
	return q
}
