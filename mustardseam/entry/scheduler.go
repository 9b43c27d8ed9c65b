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

// Scheduler decides which request goes to which backend server and when; its methods are safe for concurrent use.
type Scheduler struct {
	cfg  schedulerConfig
	asks asker // Places requests elsewhere; nil when there is nobody to ask.

	mu      sync.Mutex
	board   *place.Board                    // Guarded by mu, as all that follow.
	queues  map[string]*place.Queue         // By service.
	waiting map[*place.Waiting]func(*Grant) // Called with mu held when it is decided; nil when the time is over.
	running map[string]int                  // By team.
	quota   *share.Quota
	budget  *share.Budget
	cold    *share.Cold
	heard   time.Time // Of the latest word of the others, or its lapse.
	sharers int       // Instances that may send to the backend servers, silent ones included.
	nodes   []string  // Instances that are believed to run, this one included.
	// starters is nodes with the registered instances of a view, while this instance is not settled.
	starters   []string
	registered *fleet.View
	pumping    bool
	// allowances caches what instances may send to cold backend servers; it is void when the instances change.
	allowances map[allowance]int
	desk       *desk
	listings   map[string]*listing // By service.
	starts     place.Rate          // Requests that this instance sent to engines.
	exposures  map[string]exposure // By service.
}

// schedulerConfig says whom a scheduler asks.
type schedulerConfig struct {
	node   string
	bounds Bounds
	view   func() *fleet.View
	// contain runs a task so that a panic in it does not end the process.
	contain func(task string, f func()) bool
}

// Grant is the right to send a request to a backend server; Finish must be called for it and counts once.
type Grant struct {
	Server  *fleet.Server
	Service *fleet.Service
	First   time.Duration // Predicted time to the first event.
	Load    place.Load    // Of the backend server before, by all instances.
	By      string        // Hub that placed the request; empty when this instance did.
	job     *place.Job
	id      int64 // By which the hub knows the request; 0 when it was not told of it.
	began   bool  // The first event of a request of another instance has come.
	ended   bool  // Finish was called; guarded by the mutex of the scheduler.
}

// asker lets another instance place requests.
type asker interface {
	// Obtain returns what the other instance decides, and false when there is none that answers.
	Obtain(ctx context.Context, service string, j *place.Job) (g *Grant, ok bool, err error)
	// Placed tells of a request that was placed here.
	Placed(g *Grant)
	// Began tells of the first event of a request.
	Began(g *Grant, first time.Duration)
	// Ended tells of the end of a request.
	Ended(g *Grant, o place.Outcome)
}

func newScheduler(cfg schedulerConfig) *Scheduler {
	if cfg.bounds.Quota.Start.IsZero() {
		cfg.bounds.Quota.Start = time.Now()
	}
	if cfg.contain == nil {
		cfg.contain = func(_ string, f func()) bool { f(); return true }
	}
	return &Scheduler{
		cfg: cfg, board: place.NewBoard(place.BoardConfig{Self: cfg.node}), queues: map[string]*place.Queue{},
		waiting: map[*place.Waiting]func(*Grant){}, running: map[string]int{}, nodes: []string{cfg.node},
		quota: share.NewQuota(cfg.bounds.Quota), budget: share.NewBudget(cfg.bounds.Budget),
		cold: share.NewCold(cfg.bounds.Cold), allowances: map[allowance]int{}, exposures: map[string]exposure{}, desk: &desk{clients: map[string]*client{}},
		listings: map[string]*listing{},
	}
}

// Admit checks a request against the quota of its team.
func (s *Scheduler) Admit(team *fleet.Team, units float64) error {
	return s.admit(time.Now(), team, units)
}

func (s *Scheduler) admit(now time.Time, team *fleet.Team, units float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, retry := s.quota.Admit(now, team, units, len(s.members(now)))
	if !ok {
		level, standing, asked := s.quota.Level(now, team.Name)
		return &place.Refusal{After: retry, Reason: fmt.Sprintf(
			"quota of the team is used up: %.0f units left (%.0f of the standing share), %.0f expected from all, %.0f asked, "+
				"%.0f a second allowed", level, standing, asked, units, team.Rate)}
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
	s.budget.First(service, len(s.members(time.Now())))
}

// Retry takes a retry from the budget of a service when it has one.
func (s *Scheduler) Retry(service string) bool { return s.retry(time.Now(), service) }

func (s *Scheduler) retry(now time.Time, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Allow(now, service, len(s.members(now)))
}

// Began records the first event of a request.
func (s *Scheduler) Began(g *Grant, first time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.Began(time.Now(), g.Service, g.Server, g.job, g.Load, first)
	if s.asks != nil {
		s.asks.Began(g, first)
	}
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
	if g.ended {
		return
	}
	g.ended = true
	now := time.Now()
	s.finish(now, g, o)
	if s.asks != nil {
		s.asks.Ended(g, o)
	}
	s.pump(now)
}

// finish records the end of a request; mu is held.
func (s *Scheduler) finish(now time.Time, g *Grant, o place.Outcome) {
	s.board.Finish(now, g.Service, g.Server, g.job, o)
	if s.running[g.job.Team]--; s.running[g.job.Team] <= 0 {
		delete(s.running, g.job.Team)
	}
}

// Answered returns when the backend server of a grant last showed a sign of life.
func (s *Scheduler) Answered(g *Grant) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.Answered(g.Server)
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

func (s *Scheduler) queue(service string) *place.Queue {
	q := s.queues[service]
	if q == nil {
		q = &place.Queue{}
		s.queues[service] = q
	}
	return q
}
