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
	// homeTick is the interval of the home's loop.
	homeTick = 10 * time.Millisecond
	// tenureStep is the interval of the tenure's steps, the longest that package tenure allows, because each needs a view
	// of all instances.
	tenureStep = 100 * time.Millisecond
	// askLapse is the time after its last poll at which an ask is dropped; its entry instance polls far more often.
	askLapse = 1500 * time.Millisecond
)

// home is this instance's part in one pool: it follows who is home and, while this instance is, decides for the pool.
type home struct {
	inst    *Instance
	name    string
	kind    operator.PoolKind
	stopped chan struct{}

	outbox  outbox
	stepped time.Time // Of the last step of the tenure; only the loop reads and writes it.

	mu      sync.Mutex // Guards all that follows.
	pool    *pool.Pool
	cfg     pool.Config
	tenure  *tenure.Tenure
	journal *claim.Journal // Nil until its slots are read.
	loading bool
	serving uint64 // Epoch for which the pool's state stands; 0 when this instance does not serve.
	asks    map[string]*ask
	started map[string]running
	checked time.Time // Of the last check for failed entry instances.

	moves     map[string]*move // Rollouts by route.
	movedAt   time.Time        // Of the last look at the rollouts.
	ordering  bool             // An order to an engine is on its way.
	orderedAt time.Time        // Of the last look at the engines' versions.
}

// running is a granted request whose outcome is awaited.
type running struct {
	ask    pool.Ask
	permit pool.Permit
	load   int  // Bucket of the server's load at dispatch, for rollout.Sample.
	cold   bool // The server was in cold start at dispatch.
}

// newHome starts the part of an instance in the named pool.
func newHome(i *Instance, p operator.Pool, c *revision.Config) *home {
	h := &home{
		inst: i, name: p.Name, kind: p.Kind, stopped: make(chan struct{}),
		tenure: tenure.New(tenure.Config{
			Self: tenure.Candidate{ID: i.cfg.Incarnation, Address: i.PeerAddress()}, Pool: p.Name,
		}),
		asks: map[string]*ask{}, started: map[string]running{}, moves: map[string]*move{},
	}
	h.cfg = h.config(c)
	h.pool = pool.New(h.cfg)
	h.outbox.wake = make(chan struct{}, 1)
	i.wg.Go(h.run)
	i.wg.Go(h.flush)
	i.wg.Go(h.pollServers)
	return h
}

func (h *home) config(c *revision.Config) pool.Config {
	return pool.ConfigFor(c.Document, h.name, h.inst.cfg.Region, 1)
}

// configure puts a newer configuration in force.
func (h *home) configure(c *revision.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cfg = h.config(c)
	h.pool.Configure(h.inst.cfg.Now(), h.cfg)
	h.decide(h.inst.cfg.Now())
}

// ref returns the home of the pool as far as it is known.
func (h *home) ref() (tenure.HomeRef, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tenure.HomeRef()
}

// seen takes in the home that another instance announced.
func (h *home) seen(now time.Time, ref tenure.HomeRef) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tenure.SeenHome(now, ref)
}

// run drives the tenure, the journal and the decisions until the instance or the pool ends.
func (h *home) run() {
	tick := time.NewTicker(homeTick)
	defer tick.Stop()
	for {
		select {
		case <-h.inst.ctx.Done():
			return
		case <-h.stopped:
			return
		case <-tick.C:
		}
		h.tick(h.inst.cfg.Now())
	}
}

// tick steps the tenure when that is due, and decides while this instance serves.
func (h *home) tick(now time.Time) {
	var actions []tenure.Action
	if now.Sub(h.stepped) >= tenureStep {
		h.stepped = now
		view := h.inst.view(now, h.name, h.candidates())
		h.mu.Lock()
		actions = h.tenure.Step(now, view)
		h.mu.Unlock()
	}
	h.mu.Lock()
	h.follow(now)
	if h.serving != 0 {
		h.sweep(now)
		h.decide(now)
		h.driveJournal(now)
		h.driveRollouts(now)
		h.driveOrders(now)
	}
	h.mu.Unlock()
	for _, a := range actions {
		h.inst.wg.Go(func() { h.perform(a) })
	}
}

// candidates returns those of the home record as last read.
func (h *home) candidates() []tenure.Candidate {
	h.mu.Lock()
	defer h.mu.Unlock()
	rec, ok := h.tenure.Record()
	if !ok {
		return nil
	}
	return append([]tenure.Candidate{{ID: rec.Home, Address: rec.Address}}, rec.Candidates...)
}

// follow begins or ends serving as the tenure says; it must be called with mu held.
func (h *home) follow(now time.Time) {
	epoch := h.serves(now)
	if epoch == h.serving {
		return
	}
	if epoch == 0 {
		event.HomeLost.Log(&h.inst.log).Str("pool", h.name).Uint64("epoch", h.serving).Send()
		h.abandon()
		h.serving = 0
		return
	}
	if h.serving == 0 {
		h.begin(now)
	} else if h.journal != nil {
		h.journal.SetEpoch(epoch)
	}
	h.serving = epoch
	h.pool.SetEpoch(epoch)
}

// serves returns the epoch for which this instance decides, 0 when it does not; it must be called with mu held.
func (h *home) serves(now time.Time) uint64 {
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

// begin starts with an empty queue and occupancy from load reports; it must be called with mu held.
func (h *home) begin(now time.Time) {
	ref, _ := h.tenure.HomeRef()
	event.HomeTaken.Log(&h.inst.log).Str("pool", h.name).Uint64("epoch", ref.Epoch).Str("mode", h.tenure.Mode(now).String()).Send()
	h.pool = pool.New(h.cfg)
	h.pool.Baseline(h.tenure.Baseline())
	h.started = map[string]running{}
	h.moves = map[string]*move{}
	h.journal = nil
	h.loading = false
}

// abandon hands every waiting ask back; it must be called with mu held.
func (h *home) abandon() {
	for _, a := range h.asks {
		a.settle(notHome)
	}
	h.asks = map[string]*ask{}
	h.started = map[string]running{}
	h.pool = pool.New(h.cfg)
	h.journal = nil
}

// stop ends every right of this instance in the pool.
func (h *home) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tenure.Stop(h.inst.cfg.Now())
	h.abandon()
	h.serving = 0
}

// close ends the home of a pool that is no longer configured.
func (h *home) close() {
	h.stop()
	close(h.stopped)
}
