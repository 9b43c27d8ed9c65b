package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/mustardseam/mustardseam/mustardseam/canary"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/http1"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/logwriter"
	"github.com/mustardseam/mustardseam/mustardseam/quarantine"
	"github.com/mustardseam/mustardseam/mustardseam/store"
)

// Config holds the settings and dependencies of an Instance.
type Config struct {
	Name           string
	DataCentre     string
	Cores          float64  // CPU share in cores, times the relative speed of a core.
	Seeds          []string // IP:port of instances that may be running; used when the store does not answer.
	Bounds         Bounds
	CallerListener net.Listener // Accepts connections of callers.
	PeerListener   net.Listener // Accepts connections of other instances.
	PeerAddress    string       // IP:port at which other instances reach PeerListener.
	Store          store.Client
	StoreCodec     StoreCodec
	HeaderCodec    HeaderCodec
	LogLevel       zerolog.Level
	LogWriter      *logwriter.Writer
	MaxConnections int // Maximum number of open connections of callers; 0 for no limit.
	// MaxPeerConnections is the maximum number of open connections of other instances; 0 for no limit.
	MaxPeerConnections int
	Duties             DutiesConfig
	// IgnorePrompts makes placement independent of what engines keep of a prompt.
	IgnorePrompts bool
	Memory        MemoryLimits
}

const (
	// sweepInterval is how often unused state is removed.
	sweepInterval = time.Second
	// lapseInterval is how often the backend servers are checked for lapsed store entries.
	lapseInterval = 100 * time.Millisecond
)

// Instance serves the requests of callers.
type Instance struct {
	cfg             Config
	logger          zerolog.Logger
	random          func() float64
	runID           int64 // Random id of this run of the process.
	view            atomic.Pointer[fleet.View]
	viewMu          sync.Mutex // Held while the view is replaced.
	follower        *store.Follower
	client          *http1.Client
	scheduler       *Scheduler
	server          *http1.Server
	peers           *hub.Server
	reporter        *reporter
	placementClient *placementClient
	rollouts        *rollouts
	quarantine      *quarantine.Table
	metrics         *instanceMetrics
	duties          *duties // Nil if there are none.
	demand          *demandCounter
	autoscaler      *autoscaler // Nil if the duty is not to be performed.
	active          atomic.Int64
	bounds          atomic.Pointer[Bounds]
	pending         *pendingRequests
	durations       *routeDurations
	stopping        atomic.Pointer[stopPlan] // Schedule of the planned stop; nil before.
	ctx             context.Context
	cancel          context.CancelFunc
	tasks           conc.WaitGroup
}

// New starts an instance.
func New(cfg Config) *Instance {
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		cfg: cfg, ctx: ctx, cancel: cancel, random: rand.Float64, runID: rand.Int64(),
		pending: newPendingRequests(), durations: newRouteDurations(), demand: newDemandCounter(),
		logger: zerolog.New(cfg.LogWriter).Level(cfg.LogLevel).With().Timestamp().Str("instance", cfg.Name).Logger(),
	}
	i.client = http1.NewClient(http1.ClientConfig{
		AnswerMemory: cfg.Memory.Answers, ReclaimAnswers: func(bytes int64) { i.server.AbandonSlowReaders(bytes) },
		ResponseFields: cfg.HeaderCodec.ResponseFields(),
	})
	i.view.Store(fleet.NewView())
	i.bounds.Store(&cfg.Bounds)
	i.scheduler = newScheduler(schedulerConfig{
		instance: cfg.Name, bounds: cfg.Bounds, view: i.view.Load, recoverPanics: i.recoverPanics,
		ignorePrompts: cfg.IgnorePrompts,
	})
	i.quarantine = newQuarantine(i.log())
	i.metrics = newInstanceMetrics(i)
	i.duties = newDuties(i)
	i.autoscaler = newAutoscaler(i)
	i.reporter = newReporter(i)
	i.placementClient = newPlacementClient(placementClientConfig{
		instance: cfg.Name, run: i.runID, scheduler: i.scheduler, reachableHub: i.reporter.reachableHub,
		send: i.reporter.client.Place, log: i.log(),
	})
	i.scheduler.remote = i.placementClient
	i.rollouts = &rollouts{i: i, controllers: map[string]*canary.Controller{}, logged: map[string]time.Time{}}
	i.follower = store.NewFollower(store.FollowerConfig{
		Client: cfg.Store, ReplicaConfig: store.ReplicaConfig{Supersedes: cfg.StoreCodec.Supersedes, IsLeased: cfg.StoreCodec.IsLeased},
		IsRelayed: i.reporter.relaysStore, OnChange: i.applyStoreItems,
		OnAvailable:   func() { event.StoreAvailable.Log(i.log()).Send() },
		OnUnavailable: func(err error) { event.StoreUnavailable.Log(i.log()).Err(err).Send() },
		OnListed: func(at store.Position, items int) {
			event.StoreListed.Log(i.log()).Int64("era", at.Era).Int64("revision", at.Revision).Int("items", items).Send()
		},
		OnEraChanged: func(replica, answer store.Position) {
			event.StoreEraChanged.Log(i.log()).Int64("known-era", replica.Era).Int64("known-revision", replica.Revision).
				Int64("era", answer.Era).Int64("revision", answer.Revision).Send()
		},
	})
	i.peers = hub.NewServer(hub.ServerConfig{
		Listener: cfg.PeerListener, MaxConns: cfg.MaxPeerConnections, HandleReport: i.reporter.handleReport, HandleUpdate: i.reporter.placeFor,
		State: i.State, RecoverPanics: i.recoverPanics,
	})
	i.server = http1.NewServer(http1.ServerConfig{
		Listener: cfg.CallerListener, MaxConns: cfg.MaxConnections, Limits: i.limits, Handle: i.handle, Log: i.logger,
		RequestMemory: cfg.Memory.Requests,
	})
	i.tasks.Go(i.reporter.run)
	i.tasks.Go(func() { i.placementClient.run(i.ctx) })
	i.tasks.Go(i.rollouts.run)
	i.tasks.Go(i.register)
	if i.autoscaler != nil {
		i.tasks.Go(i.autoscaler.run)
	}
	i.tasks.Go(i.saveQuotas)
	i.tasks.Go(i.saveCrashes)
	i.tasks.Go(i.sweep)
	if i.duties != nil {
		i.tasks.Go(i.duties.run)
	}
	event.InstanceStarted.Log(i.log()).Str("data-centre", cfg.DataCentre).Send()
	return i
}

// Ready reports whether callers should be sent to this instance.
func (i *Instance) Ready() bool {
	v := i.view.Load()
	return v.Config != nil && i.stopping.Load() == nil
}

// log returns the logger.
func (i *Instance) log() *zerolog.Logger { return &i.logger }

// limits returns the limits on callers in the current configuration.
func (i *Instance) limits() fleet.Limits {
	if c := i.view.Load().Config; c != nil {
		return c.Limits
	}
	return fleet.Limits{}
}

// applyStoreItems updates the view with items of the store; the follower calls it in the order of revisions.
func (i *Instance) applyStoreItems(items []store.Item, lapse bool) {
	i.viewMu.Lock()
	defer i.viewMu.Unlock()
	now := time.Now()
	var changes []fleet.Change
	for _, item := range items {
		i.recoverPanics("item of the store", func() {
			c, ours, err := i.cfg.StoreCodec.Decode(item, lapse, now)
			if err != nil {
				event.StoreItemInvalid.Log(i.log()).Str("key", item.Key).Int64("revision", item.Revision).Err(err).Send()
			}
			if !ours {
				return
			}
			changes = append(changes, c)
			if c.Quotas != nil {
				i.scheduler.restoreQuotas(now, *c.Quotas)
			}
			i.quarantine.Merge(now, c.Crashes)
			i.logChange(item, c)
		})
	}
	i.view.Store(i.view.Load().With(changes...))
	i.scheduler.Dispatch()
}

// sweep periodically removes lapsed backend servers and unused state.
func (i *Instance) sweep() {
	ticker := time.NewTicker(lapseInterval)
	defer ticker.Stop()
	swept := time.Now()
	var limits callerLimits
	for {
		select {
		case <-i.ctx.Done():
			return
		case <-ticker.C:
		}
		i.recoverPanics("sweep", func() {
			now := time.Now()
			i.dropLapsed(now)
			if now.Sub(swept) >= sweepInterval {
				swept = now
				i.client.CloseExpired(now, i.listed)
				i.scheduler.sweep(now, i.listed)
				i.quarantine.Sweep(now)
				i.durations.sweep(now)
				limits = i.logCallerLimits(limits)
			}
		})
	}
}

// dropLapsed removes backend servers whose store entries have been missing for too long.
func (i *Instance) dropLapsed(now time.Time) {
	i.viewMu.Lock()
	defer i.viewMu.Unlock()
	v := i.view.Load()
	if next := v.WithoutLapsed(now); next != v {
		i.view.Store(next)
	}
}

// listed reports whether the store lists an incarnation of a backend server.
func (i *Instance) listed(id fleet.Incarnation) bool {
	s := i.view.Load().Servers[id.ID]
	return s != nil && s.Incarnation() == id
}

// registration returns the registration of this instance.
func (i *Instance) registration() fleet.Instance {
	return fleet.Instance{Name: i.cfg.Name, Address: i.cfg.PeerAddress, DataCentre: i.cfg.DataCentre, Cores: i.cfg.Cores}
}

// register keeps the address of this instance in the store, so that the other instances find it. A store that is restored
// from a copy may lose it.
func (i *Instance) register() {
	key, value, err := i.cfg.StoreCodec.Instance(i.registration())
	if err != nil {
		event.StoreWriteFailed.Log(i.log()).Err(err).Send()
		return
	}
	for i.ctx.Err() == nil {
		if _, known := i.follower.SinceResponse(time.Now()); known {
			old, expect, saved := i.follower.Item(key)
			if saved && string(old.Value) == string(value) {
				i.sleep(registerCheckInterval)
				continue
			}
			ctx, cancel := context.WithTimeout(i.ctx, registerTimeout)
			err := i.follower.Put(ctx, key, value, expect)
			cancel()
			if err == nil {
				event.InstanceRegistered.Log(i.log()).Str("address", i.cfg.PeerAddress).Send()
				continue
			}
			event.StoreWriteFailed.Log(i.log()).Str("key", key).Err(eris.Wrap(err, "register")).Send()
		}
		i.sleep(registerRetryDelay/2 + rand.N(registerRetryDelay))
	}
}

const (
	// registerTimeout bounds a write of the registration.
	registerTimeout = time.Second
	// registerRetryDelay is the mean time between attempts to register.
	registerRetryDelay = 500 * time.Millisecond
	// registerCheckInterval is how often the registration is checked.
	registerCheckInterval = time.Second
)

// sleep waits for a duration or until the instance stops.
func (i *Instance) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-i.ctx.Done():
	}
}
