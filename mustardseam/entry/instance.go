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

	"github.com/mustardseam/mustardseam/mustardseam/conduct"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/http1"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/journal"
	"github.com/mustardseam/mustardseam/mustardseam/store"
)

// Config describes an instance.
type Config struct {
	Name       string
	DataCentre string
	Cores      float64  // Share of a core, times its speed.
	Seeds      []string // IP:port of instances that may be running, for when the store does not answer.
	Bounds     Bounds
	Callers    net.Listener // For requests.
	Peers      net.Listener // For reports of other instances.
	PeerAddr   string       // IP:port under which other instances reach Peers.
	Store      store.Client
	Codec      Codec
	Wire       Wire
	Level      zerolog.Level
	Log        *journal.Writer
	Conns      int // Connections of callers at a time; 0 for no bound.
}

const (
	// sweepEvery is how often what is no longer used is forgotten.
	sweepEvery = time.Second
	// lapseEvery is how often backend servers whose entries lapsed are looked at.
	lapseEvery = 100 * time.Millisecond
)

// Instance serves callers.
type Instance struct {
	cfg       Config
	logger    zerolog.Logger
	random    func() float64
	run       int64 // Tells the runs of this instance apart.
	view      atomic.Pointer[fleet.View]
	changing  sync.Mutex // Held while the view is replaced.
	follower  *store.Follower
	client    *http1.Client
	scheduler *Scheduler
	server    *http1.Server
	peers     *hub.Server
	gossip    *gossip
	asking    *asking
	rollouts  *rollouts
	metrics   *meters
	active    atomic.Int64
	bounds    atomic.Pointer[Bounds]
	stopping  atomic.Pointer[time.Time] // When the stop began; nil before.
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     conc.WaitGroup
}

// New starts an instance.
func New(cfg Config) *Instance {
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		cfg: cfg, ctx: ctx, cancel: cancel, client: http1.NewClient(), random: rand.Float64, run: rand.Int64(),
		logger: zerolog.New(cfg.Log).Level(cfg.Level).With().Timestamp().Str("instance", cfg.Name).Logger(),
	}
	i.view.Store(fleet.NewView())
	i.bounds.Store(&cfg.Bounds)
	i.scheduler = newScheduler(schedulerConfig{
		node: cfg.Name, bounds: cfg.Bounds, view: i.view.Load, contain: i.contain,
	})
	i.metrics = newMeters(i)
	i.gossip = newGossip(i)
	i.asking = newAsking(askingConfig{
		node: cfg.Name, run: i.run, scheduler: i.scheduler, hub: i.gossip.desk, place: i.gossip.client.Place, log: i.log(),
	})
	i.scheduler.asks = i.asking
	i.rollouts = &rollouts{i: i, conductors: map[string]*conduct.Conductor{}}
	i.follower = store.NewFollower(store.FollowerConfig{
		Client: cfg.Store, Relayed: i.gossip.relayed, Changed: i.changed,
		Reached: func() { event.StoreBack.On(i.log()).Send() },
		Lost:    func(err error) { event.StoreFailed.On(i.log()).Err(err).Send() },
	})
	i.peers = hub.NewServer(hub.ServerConfig{
		Listener: cfg.Peers, Answer: i.gossip.answer, Place: i.gossip.place, Dump: i.Dump, Contain: i.contain,
	})
	i.server = http1.NewServer(http1.ServerConfig{
		Listener: cfg.Callers, Connections: cfg.Conns, Limits: i.limits, Handle: i.handle, Log: i.logger,
	})
	i.tasks.Go(i.gossip.run)
	i.tasks.Go(func() { i.asking.run(i.ctx) })
	i.tasks.Go(i.rollouts.run)
	i.tasks.Go(i.register)
	i.tasks.Go(i.keepQuotas)
	i.tasks.Go(i.sweep)
	event.Started.On(i.log()).Str("data-centre", cfg.DataCentre).Send()
	return i
}

// Ready reports whether callers should be sent here.
func (i *Instance) Ready() bool {
	v := i.view.Load()
	return v.Config != nil && i.stopping.Load() == nil
}

// log returns the logger.
func (i *Instance) log() *zerolog.Logger { return &i.logger }

// limits returns the bounds on callers that are in force.
func (i *Instance) limits() fleet.Limits {
	if c := i.view.Load().Config; c != nil {
		return c.Limits
	}
	return fleet.Limits{}
}

// changed takes in items of the store; the follower calls it in the order of revisions.
func (i *Instance) changed(items []store.Item, lapse bool) {
	i.changing.Lock()
	defer i.changing.Unlock()
	now := time.Now()
	var changes []fleet.Change
	for _, item := range items {
		i.contain("item of the store", func() {
			c, ours, err := i.cfg.Codec.Decode(item, lapse, now)
			if err != nil {
				event.BadItem.On(i.log()).Str("key", item.Key).Int64("revision", item.Revision).Err(err).Send()
			}
			if !ours {
				return
			}
			changes = append(changes, c)
			if c.Quotas != nil {
				i.scheduler.recoverQuotas(now, *c.Quotas)
			}
			i.logChange(item, c)
		})
	}
	i.view.Store(i.view.Load().With(changes...))
	i.scheduler.Pump()
}

// sweep forgets what is no longer used.
func (i *Instance) sweep() {
	ticker := time.NewTicker(lapseEvery)
	defer ticker.Stop()
	swept := time.Now()
	for {
		select {
		case <-i.ctx.Done():
			return
		case <-ticker.C:
		}
		i.contain("sweep", func() {
			now := time.Now()
			i.dropLapsed(now)
			if now.Sub(swept) >= sweepEvery {
				swept = now
				i.client.Sweep(now, i.listed)
				i.scheduler.sweep(now, i.listed)
			}
		})
	}
}

// dropLapsed removes backend servers whose entries have been away for too long.
func (i *Instance) dropLapsed(now time.Time) {
	i.changing.Lock()
	defer i.changing.Unlock()
	v := i.view.Load()
	if next := v.WithoutLapsed(now); next != v {
		i.view.Store(next)
	}
}

// listed reports whether an incarnation of a backend server is known to the store.
func (i *Instance) listed(id fleet.Incarnation) bool {
	s := i.view.Load().Servers[id.ID]
	return s != nil && s.Incarnation() == id
}

// node returns how the others reach this instance.
func (i *Instance) node() fleet.Node {
	return fleet.Node{Name: i.cfg.Name, Address: i.cfg.PeerAddr, DataCentre: i.cfg.DataCentre, Cores: i.cfg.Cores}
}

// register writes this instance's address to the store, so that the others find it.
func (i *Instance) register() {
	key, value, err := i.cfg.Codec.Node(i.node())
	if err != nil {
		event.StoreRefused.On(i.log()).Err(err).Send()
		return
	}
	for i.ctx.Err() == nil {
		if _, known := i.follower.Age(time.Now()); known {
			old, found := i.follower.Item(key)
			if found && string(old.Value) == string(value) {
				return
			}
			ctx, cancel := context.WithTimeout(i.ctx, registerTime)
			err := i.follower.Put(ctx, key, value, old.Revision)
			cancel()
			if err == nil {
				event.Registered.On(i.log()).Str("address", i.cfg.PeerAddr).Send()
				return
			}
			event.StoreRefused.On(i.log()).Str("key", key).Err(eris.Wrap(err, "register")).Send()
		}
		i.sleep(registerRetry/2 + rand.N(registerRetry))
	}
}

const (
	// registerTime bounds a registration.
	registerTime = time.Second
	// registerRetry is the mean time between attempts to register.
	registerRetry = 500 * time.Millisecond
)

// sleep waits, or until the instance ends.
func (i *Instance) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-i.ctx.Done():
	}
}
