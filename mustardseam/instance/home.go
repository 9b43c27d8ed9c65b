package instance

import (
	"sync"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/claim"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/mustardseam/tenure"
	"github.com/mustardseam/mustardseam/operator"
)

const (
	homeLoopInterval = 10 * time.Millisecond
	// tenureStepInterval is the time between two steps of the tenure. It is the longest that package tenure allows,
	// because each step builds a view of all instances.
	tenureStepInterval = 100 * time.Millisecond
	// askExpiry is the time after the last poll at which the home drops an ask. Entry instances poll far more often.
	askExpiry = 1500 * time.Millisecond
)

// home is this instance's state for one pool. It tracks which instance is the pool's home and, while that is this
// instance, schedules the pool.
type home struct {
	inst    *Instance
	name    string
	kind    operator.PoolKind
	stopped chan struct{}

	outbox         outbox
	lastTenureStep time.Time // Time of the last step of the tenure; used only by the loop.

	mu               sync.Mutex // Guards all fields below.
	pool             *pool.Pool
	cfg              pool.Config
	tenure           *tenure.Tenure
	journal          *claim.Journal // Nil until loadJournal has read the slots.
	journalLoading   bool
	servingEpoch     uint64 // Epoch for which this instance schedules the pool; 0 while it does not.
	asks             map[string]*ask
	startedRequests  map[string]startedRequest
	lastFailureCheck time.Time // Time of the last check for failed entry instances.

	rollouts         map[string]*routeRollout // Rollouts of the configuration, by route name.
	lastRolloutCheck time.Time                // Time of the last run of driveRollouts.
	orderInProgress  bool                     // An order to an engine is in progress.
	lastOrderCheck   time.Time                // Time of the last check of the engines' versions.
}

// startedRequest is a granted request whose outcome has not been reported yet.
type startedRequest struct {
	ask        pool.Ask
	permit     pool.Permit
	loadBucket int  // Bucket of the server's load when the permit was granted, for rollout.Sample.
	coldStart  bool // The server was in cold start when the permit was granted.
}

// newHome returns the home of a pool and starts its goroutines.
func newHome(i *Instance, p operator.Pool, c *revision.Config) *home {
	h := &home{
		inst: i, name: p.Name, kind: p.Kind, stopped: make(chan struct{}),
		tenure: tenure.New(tenure.Config{
			Self: tenure.Candidate{ID: i.cfg.Incarnation, Address: i.PeerAddress()}, Pool: p.Name,
		}),
		asks: map[string]*ask{}, startedRequests: map[string]startedRequest{}, rollouts: map[string]*routeRollout{},
	}
	h.cfg = h.poolConfig(c)
	h.pool = pool.New(h.cfg)
	h.outbox.pending = make(chan struct{}, 1)
	i.wg.Go(h.run)
	i.wg.Go(h.flushOutbox)
	i.wg.Go(h.pollServers)
	return h
}

func (h *home) poolConfig(c *revision.Config) pool.Config {
	return pool.ConfigFor(c.Document, h.name, h.inst.cfg.Region, 1)
}

// configure applies a newer configuration to the pool.
func (h *home) configure(c *revision.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cfg = h.poolConfig(c)
	h.pool.Configure(h.inst.cfg.Now(), h.cfg)
	h.schedule(h.inst.cfg.Now())
}

// homeRef returns the last known home of the pool.
func (h *home) homeRef() (tenure.HomeRef, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tenure.HomeRef()
}

// observeHome passes the home announced by another instance to the tenure.
func (h *home) observeHome(now time.Time, ref tenure.HomeRef) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tenure.ObserveHome(now, ref)
}

// run runs the home's loop until the instance stops or the pool is removed from the configuration.
func (h *home) run() {
	tick := time.NewTicker(homeLoopInterval)
	defer tick.Stop()
	for {
		select {
		case <-h.inst.ctx.Done():
			return
		case <-h.stopped:
			return
		case <-tick.C:
		}
		h.runOnce(h.inst.cfg.Now())
	}
}

// runOnce steps the tenure if a step is due and, while this instance serves the pool, schedules requests and drives the
// journal, the rollouts and the orders to engines.
func (h *home) runOnce(now time.Time) {
	var actions []tenure.Action
	if now.Sub(h.lastTenureStep) >= tenureStepInterval {
		h.lastTenureStep = now
		view := h.inst.tenureView(now, h.name, h.candidates())
		h.mu.Lock()
		actions = h.tenure.Step(now, view)
		h.mu.Unlock()
	}
	h.mu.Lock()
	h.updateServing(now)
	if h.servingEpoch != 0 {
		h.expireAsks(now)
		h.schedule(now)
		h.driveJournal(now)
		h.driveRollouts(now)
		h.driveOrders(now)
	}
	h.mu.Unlock()
	for _, a := range actions {
		h.inst.wg.Go(func() { h.performAction(a) })
	}
}

// candidates returns the home and the candidates of the home record as last read, nil if no record is known.
func (h *home) candidates() []tenure.Candidate {
	h.mu.Lock()
	defer h.mu.Unlock()
	rec, ok := h.tenure.Record()
	if !ok {
		return nil
	}
	return append([]tenure.Candidate{{ID: rec.Home, Address: rec.Address}}, rec.Candidates...)
}

// updateServing starts or stops serving the pool according to the tenure; it must be called with mu held.
func (h *home) updateServing(now time.Time) {
	epoch := h.tenureEpoch(now)
	if epoch == h.servingEpoch {
		return
	}
	if epoch == 0 {
		event.HomeLost.Log(&h.inst.log).Str("pool", h.name).Uint64("epoch", h.servingEpoch).Send()
		h.discardState()
		h.servingEpoch = 0
		return
	}
	if h.servingEpoch == 0 {
		h.startServing(now)
	} else if h.journal != nil {
		h.journal.SetEpoch(epoch)
	}
	h.servingEpoch = epoch
	h.pool.SetEpoch(epoch)
}

// tenureEpoch returns the epoch for which the tenure lets this instance serve the pool, 0 if it does not; it must be
// called with mu held.
func (h *home) tenureEpoch(now time.Time) uint64 {
	ref, ok := h.tenure.HomeRef()
	switch h.tenure.Mode(now) {
	case tenure.Home, tenure.Consent, tenure.Waiting:
		if ok && ref.Home == h.inst.cfg.Incarnation {
			return ref.Epoch
		}
	case tenure.Static:
		return max(1, ref.Epoch)
	}
	return 0
}

// startServing resets the pool to an empty queue, with the occupancy of its servers taken from load reports; it must be
// called with mu held.
func (h *home) startServing(now time.Time) {
	ref, _ := h.tenure.HomeRef()
	event.HomeTaken.Log(&h.inst.log).Str("pool", h.name).Uint64("epoch", ref.Epoch).Str("mode", h.tenure.Mode(now).String()).Send()
	h.pool = pool.New(h.cfg)
	h.pool.AwaitFreshReports(h.tenure.BaselineAfter())
	h.startedRequests = map[string]startedRequest{}
	h.rollouts = map[string]*routeRollout{}
	h.journal = nil
	h.journalLoading = false
}

// discardState answers every undecided ask with NotHome and discards the state of the pool; it must be called with mu
// held.
func (h *home) discardState() {
	for _, a := range h.asks {
		a.decide(notHomeAnswer)
	}
	h.asks = map[string]*ask{}
	h.startedRequests = map[string]startedRequest{}
	h.pool = pool.New(h.cfg)
	h.journal = nil
}

// stop ends the tenure of this instance and stops serving the pool.
func (h *home) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tenure.Stop(h.inst.cfg.Now())
	h.discardState()
	h.servingEpoch = 0
}

// close stops the home and its goroutines after the pool was removed from the configuration.
func (h *home) close() {
	h.stop()
	close(h.stopped)
}
