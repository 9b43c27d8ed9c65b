package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
	"github.com/mustardseam/mustardseam/mustardseam/ratelimit"
)

// Scheduler assigns requests to backend servers, queues those for which there is no free slot, and enforces quotas and
// retry budgets. Its methods are safe for concurrent use.
type Scheduler struct {
	cfg    schedulerConfig
	remote placementRequester // Asks the hub to choose the backend servers; nil when this instance always does.

	// mu guards the fields below.
	mu     sync.Mutex
	board  *placement.Board
	queues map[string]*placement.Queue // Keyed by service.
	// pending holds the callback of each queued request. It is called with mu held once the request is placed, or with nil
	// when its wait has timed out.
	pending           map[*placement.Waiting]func(*Grant)
	runningByTeam     map[string]int        // Predicted work at backend servers in milliseconds, keyed by team.
	returning         placement.ReturnTable // Refused requests that are expected to return.
	quota             *ratelimit.Quota
	retryBudget       *ratelimit.Budget
	coldLimits        *ratelimit.ColdLimiter
	serverLimits      *ratelimit.ServerLimits
	serverLimiter     *ratelimit.ServerLimiter
	activeAt          map[string]time.Time // When each instance was last believed to be running, keyed by its name.
	limitSharers      []string             // Instances that share the limits of backend servers, sorted.
	loadsUpdated      time.Time            // When the loads of the other instances were last received or discarded.
	possibleInstances int                  // Number of instances that may send to the backend servers, including those that may be cut off.
	instances         []string             // Instances believed to be running, including this one.
	// sharersWhileStarting lists the instances that share the quotas until the quota levels are settled: instances plus those
	// registered in sharersView.
	sharersWhileStarting []string
	sharersView          *fleet.View
	returnsRecognized    int  // Requests that returned after a refusal and were recognized.
	dispatchTimerRunning bool // The timer that calls dispatch is armed.
	// coldAllowances caches the per-second limits of instances at cold backend servers; cleared when the sharers change.
	coldAllowances    map[coldAllowanceKey]int
	placementServer   *placementServer
	serverLists       map[string]*serverList  // Keyed by service.
	engineRequestRate placement.Rate          // Rate at which this instance sends requests to engines.
	rolloutCounts     map[string]rolloutCount // Requests since the order of the current rollout, keyed by service.
}

// schedulerConfig holds the settings and dependencies of a Scheduler.
type schedulerConfig struct {
	instance string
	bounds   Bounds
	view     func() *fleet.View
	// recoverPanics runs a task and recovers from a panic in it; it reports whether the task completed.
	recoverPanics func(task string, f func()) bool
}

// Grant is the placement of a request on a backend server, whose load includes the request until Finish is called. Finish must
// be called for it; further calls have no effect.
type Grant struct {
	Server              *fleet.Server
	Service             *fleet.Service
	PredictedFirstEvent time.Duration  // Predicted time from sending to the first event.
	Load                placement.Load // Load of the backend server, from all instances, before this request.
	Hub                 string         // Hub that placed the request; empty when this instance placed it.
	job                 *placement.Job
	work                int   // Predicted milliseconds that the request occupies a slot, as counted for its team.
	id                  int64 // Id of the request at the hub; 0 when the hub does not know it.
	firstEventSeen      bool  // The first event has arrived; set only for requests of other instances.
	finished            bool  // Finish was called; guarded by the mutex of the Scheduler.
}

// placementRequester asks the hub to choose backend servers for requests and reports the progress of these requests to it.
type placementRequester interface {
	// Place returns the hub's decision; ok is false when this instance must place the request itself.
	Place(ctx context.Context, service string, j *placement.Job) (g *Grant, ok bool, err error)
	// ReportStarted reports a request that this instance placed itself.
	ReportStarted(g *Grant)
	// ReportFirstEvent reports the first event of a request.
	ReportFirstEvent(g *Grant, first time.Duration)
	// ReportFinished reports the end of a request.
	ReportFinished(g *Grant, o placement.Outcome)
	// ReportReturn reports a refused request that is expected to return at any instance.
	ReportReturn(fingerprint uint64, r placement.Return)
	// ReturnsExpected reports whether the hub expects requests to return.
	ReturnsExpected() bool
}

func newScheduler(cfg schedulerConfig) *Scheduler {
	if cfg.bounds.Quota.Start.IsZero() {
		cfg.bounds.Quota.Start = time.Now()
	}
	if cfg.recoverPanics == nil {
		cfg.recoverPanics = func(_ string, f func()) bool { f(); return true }
	}
	limits := ratelimit.NewServerLimits()
	return &Scheduler{
		cfg: cfg, board: placement.NewBoard(placement.BoardConfig{Self: cfg.instance}), queues: map[string]*placement.Queue{},
		pending: map[*placement.Waiting]func(*Grant){}, runningByTeam: map[string]int{}, instances: []string{cfg.instance},
		quota: ratelimit.NewQuota(cfg.bounds.Quota), retryBudget: ratelimit.NewBudget(cfg.bounds.Budget),
		coldLimits: ratelimit.NewColdLimiter(cfg.bounds.ColdStart), coldAllowances: map[coldAllowanceKey]int{},
		rolloutCounts: map[string]rolloutCount{},
		serverLimits:  limits, serverLimiter: ratelimit.NewServerLimiter(limits, cfg.instance), activeAt: map[string]time.Time{},
		limitSharers:    []string{cfg.instance},
		placementServer: &placementServer{clients: map[string]*remoteInstance{}}, serverLists: map[string]*serverList{},
	}
}

// Admit charges a request to the quota of its team; it returns a *placement.Refusal when the quota is used up.
func (s *Scheduler) Admit(team *fleet.Team, units float64) error {
	return s.admit(time.Now(), team, units)
}

func (s *Scheduler) admit(now time.Time, team *fleet.Team, units float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, retry := s.quota.Admit(now, team, units, len(s.sharingInstances(now)))
	if !ok {
		level, standing, asked := s.quota.Level(now, team.Name)
		cause := placement.CauseQuota
		if level >= units {
			cause = placement.CauseQuotaExpected
		}
		return &placement.Refusal{Cause: cause, RetryAfter: retry, Reason: fmt.Sprintf(
			"quota of the team is used up: %.0f units left (%.0f of the standing share), %.0f expected from all, %.0f asked, "+
				"%.0f a second allowed", level, standing, asked, units, team.Rate)}
	}
	return nil
}

// RefundQuota refunds the units of a request that was not run.
func (s *Scheduler) RefundQuota(team *fleet.Team, units float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota.Refund(time.Now(), team.Name, units)
}

// CountFirst counts the first attempt of a request, from which the retry budget of its service is derived.
func (s *Scheduler) CountFirst(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.CountFirst(service, len(s.sharingInstances(time.Now())))
}

// TakeRetry takes one retry from the budget of a service and reports whether there was one left.
func (s *Scheduler) TakeRetry(service string) bool { return s.takeRetry(time.Now(), service) }

func (s *Scheduler) takeRetry(now time.Time, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget.Take(now, service, len(s.sharingInstances(now)))
}

// RecordFirstEvent records the first event of a request.
func (s *Scheduler) RecordFirstEvent(g *Grant, first time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.RecordFirstEvent(time.Now(), g.Service, g.Server, g.job, g.Load, first)
	if s.remote != nil {
		s.remote.ReportFirstEvent(g, first)
	}
}

// RecordInterToken records the inter-token latency of a stream that is still running.
func (s *Scheduler) RecordInterToken(g *Grant, interToken time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.RecordInterToken(g.Service, g.Server, interToken)
}

// Finish records the end of a request at a backend server and places queued requests.
func (s *Scheduler) Finish(g *Grant, o placement.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.finished {
		return
	}
	g.finished = true
	now := time.Now()
	s.finish(now, g, o)
	if s.remote != nil {
		s.remote.ReportFinished(g, o)
	}
	s.dispatch(now)
}

// finish updates the load of the backend server and of the team; mu must be held.
func (s *Scheduler) finish(now time.Time, g *Grant, o placement.Outcome) {
	s.board.Finish(now, g.Service, g.Server, g.job, o)
	if s.runningByTeam[g.job.Team] -= g.work; s.runningByTeam[g.job.Team] <= 0 {
		delete(s.runningByTeam, g.job.Team)
	}
}

// LastAnswer returns when the backend server of a grant last answered any request.
func (s *Scheduler) LastAnswer(g *Grant) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.LastAnswer(g.Server)
}

// Waiting returns the number of queued requests.
func (s *Scheduler) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

func (s *Scheduler) queue(service string) *placement.Queue {
	q := s.queues[service]
	if q == nil {
		q = &placement.Queue{}
		s.queues[service] = q
	}
	return q
}
