package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

const (
	// longPollTimeout is how long the hub may delay its answer to a poll while requests are queued there.
	longPollTimeout = 200 * time.Millisecond
	// initialFallback is the mean time for which this instance places requests itself after the hub first failed to answer; the
	// actual time is drawn between half and one and a half of the mean. The mean doubles with each further failure up to
	// maxFallback, which gives time to replace a hub that is down. The randomised time keeps instances from returning to an
	// overloaded hub all at the same moment.
	initialFallback = 300 * time.Millisecond
	maxFallback     = 2400 * time.Millisecond
	// firstEventDelay is how long first events may wait to be sent along with other changes; they only tell which prompts have
	// been processed.
	firstEventDelay = 30 * time.Millisecond
)

// placementClient lets the hub place the requests of this instance to engines and reports their progress. While the hub
// does not answer, this instance places them itself.
type placementClient struct {
	cfg        placementClientConfig
	sendSignal chan struct{} // Holds a value when there is an update to send.

	// mu guards the fields below. It is acquired while the mutex of the Scheduler is held, so neither that mutex nor the one
	// of the reporter may be acquired under it.
	mu            sync.Mutex
	lastID        int64                       // Latest id that was given to a request.
	running       map[int64]hub.PlacedRequest // Requests at backend servers, keyed by id.
	undecided     map[int64]*undecidedRequest // Requests that the hub has not decided on, keyed by id.
	unsent        hub.PlacementUpdate         // Changes for the next update.
	sequence      int64                       // Number of the latest update.
	placingHub    string                      // Name of the hub that knows the running requests; empty if none.
	fallbackUntil time.Time                   // Until this time, requests are placed by this instance.
	failures      int                         // Hub failures since its latest decision; sets the length of the fallback.
	polling       bool                        // A goroutine is polling the hub for decisions.
	generation    int                         // Incremented by forgetHub, which makes pending answers void.
	closed        bool                        // Nothing is sent any more.
	// refused holds the requests that this instance refused and that are expected to return.
	refused         placement.ReturnTable
	returnsExpected bool // The hub expects requests to return, as of its latest answer.
}

// placementClientConfig holds the settings and dependencies of a placementClient.
type placementClientConfig struct {
	instance     string
	run          int64 // Random id of this run of the process.
	scheduler    *Scheduler
	reachableHub func(now time.Time) (fleet.Instance, bool) // Returns false when no hub answers.
	send         func(address string, update hub.PlacementUpdate) (hub.PlacementResponse, error)
	log          *zerolog.Logger
}

// undecidedRequest is a request that the hub has not decided on.
type undecidedRequest struct {
	service  string
	job      *placement.Job
	sent     bool
	hub      string // Hub that decided; set before decision receives a value.
	decision chan hub.Decision
}

func newPlacementClient(cfg placementClientConfig) *placementClient {
	return &placementClient{
		cfg: cfg, sendSignal: make(chan struct{}, 1), running: map[int64]hub.PlacedRequest{},
		undecided: map[int64]*undecidedRequest{},
	}
}

// Place returns the hub's decision on a job. ok is false when this instance must place the job itself: for services other
// than engines, when no hub answers, when the hub declines to decide, or when its choice cannot be used.
func (c *placementClient) Place(ctx context.Context, service string, j *placement.Job) (*Grant, bool, error) {
	config := c.cfg.scheduler.cfg.view().Config
	if config == nil {
		return nil, false, nil
	}
	svc := config.Service(service)
	if svc == nil || !svc.Engine || !c.available() {
		return nil, false, nil
	}
	id, req := c.enqueue(service, j)
	select {
	case d := <-req.decision:
		switch {
		case d.PlaceLocally:
			return nil, false, nil
		case d.Server == fleet.Incarnation{}:
			return nil, true, &placement.Refusal{
				Cause: d.Cause, Reason: d.Reason, RetryAfter: time.Duration(d.RetryAfterMS) * time.Millisecond, Returned: d.Returned,
			}
		}
		if g := c.cfg.scheduler.accept(svc, j, d); g != nil {
			g.id, g.Hub = id, req.hub
			return g, true, nil
		}
		c.ReportFinished(&Grant{id: id}, placement.Outcome{Abandoned: true})
		return nil, false, nil
	case <-ctx.Done():
		c.withdraw(id, req)
		return nil, true, context.Cause(ctx)
	}
}

// available reports whether the hub can be asked.
func (c *placementClient) available() bool {
	now := time.Now()
	if _, ok := c.cfg.reachableHub(now); !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !now.Before(c.fallbackUntil)
}

// enqueue adds a job to the next update.
func (c *placementClient) enqueue(service string, j *placement.Job) (int64, *undecidedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	req := &undecidedRequest{service: service, job: j, decision: make(chan hub.Decision, 1)}
	c.undecided[c.lastID] = req
	c.signalSend()
	return c.lastID, req
}

// withdraw cancels an undecided request. If it has been decided in the meantime, the hub is told that the decision was
// not used.
func (c *placementClient) withdraw(id int64, req *undecidedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.undecided[id] == nil {
		if d := <-req.decision; (d.Server != fleet.Incarnation{}) {
			c.recordEnd(id, placement.Outcome{Abandoned: true})
		}
		return
	}
	delete(c.undecided, id)
	if req.sent {
		c.unsent.Cancelled = append(c.unsent.Cancelled, id)
		c.signalSend()
	}
}

// ReportStarted reports to the hub a request that this instance placed itself.
func (c *placementClient) ReportStarted(g *Grant) {
	if !g.Service.Engine {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	g.id = c.lastID
	r := hub.PlacedRequest{
		ID: g.id, Server: g.Server.Incarnation(), Route: g.job.Route, Team: g.job.Team, PromptTokens: g.job.PromptTokens,
	}
	c.running[g.id] = r
	c.unsent.Running = append(c.unsent.Running, r)
	c.signalSend()
}

// ReportFirstEvent reports the first event of a request to the hub.
func (c *placementClient) ReportFirstEvent(g *Grant, first time.Duration) {
	if g.id == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.running[g.id]
	r.PromptTokens = 0
	c.running[g.id] = r
	c.unsent.FirstEvents = append(c.unsent.FirstEvents, hub.FirstEvent{ID: g.id, FirstEventUS: first.Microseconds()})
	if len(c.unsent.FirstEvents) == 1 {
		time.AfterFunc(firstEventDelay, c.signalSend)
	}
}

// ReportFinished reports the end of a request to the hub.
func (c *placementClient) ReportFinished(g *Grant, o placement.Outcome) {
	if g.id == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordEnd(g.id, o)
}

// ReportReturn reports to the hub a request that was refused here and is expected to return at any instance.
func (c *placementClient) ReportReturn(fingerprint uint64, r placement.Return) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused.Add(now, fingerprint, r)
	c.unsent.Returning = append(c.unsent.Returning, encodeReturn(now, fingerprint, r))
	c.signalSend()
}

// ReturnsExpected reports whether the hub expects requests to return.
func (c *placementClient) ReturnsExpected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.returnsExpected
}

// recordEnd adds the end of a request to the next update; mu must be held.
func (c *placementClient) recordEnd(id int64, o placement.Outcome) {
	delete(c.running, id)
	c.unsent.Completed = append(c.unsent.Completed, hub.CompletedRequest{ID: id, Outcome: o})
	c.signalSend()
}

// signalSend triggers the sending of the next update.
func (c *placementClient) signalSend() {
	select {
	case c.sendSignal <- struct{}{}:
	default:
	}
}

// isPlacedBy reports whether the named hub places the requests of this instance and knows those that are running.
func (c *placementClient) isPlacedBy(hubName string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.placingHub != "" && c.placingHub == hubName
}
