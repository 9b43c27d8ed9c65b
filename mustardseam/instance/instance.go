package instance

import (
	"context"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/mustardseam/mustardseam/mustardseam/admin"
	"github.com/mustardseam/mustardseam/mustardseam/caller"
	"github.com/mustardseam/mustardseam/mustardseam/directory"
	"github.com/mustardseam/mustardseam/mustardseam/engine"
	"github.com/mustardseam/mustardseam/mustardseam/etcd"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/member"
	"github.com/mustardseam/mustardseam/mustardseam/peer"
	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
	"github.com/mustardseam/mustardseam/mustardseam/service"
	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

const (
	// engineIdle is the longest time without data within a stream before the stream is resumed.
	engineIdle = 10 * time.Second
	enginePoll = time.Second
)

// Instance is one running entry instance; its methods are safe for concurrent use.
type Instance struct {
	cfg      Config
	log      zerolog.Logger
	holder   revision.Holder
	marks    rollout.RollbackMarks
	store    *etcd.Client
	engines  *engine.Client
	services *service.Client
	peers    *peer.Client
	platform *directory.Client
	replay   *replay
	metrics  expvar.Map
	sequence atomic.Uint64

	homesMu     sync.Mutex                       // Held while homes are created, configured and closed.
	homes       atomic.Pointer[map[string]*home] // By pool name; the map is replaced on each change, never modified.
	storeDown   atomic.Bool
	lastContact atomic.Int64 // Time of the last answer from the store or a peer, in Unix nanoseconds; 0 before the first.

	membersMu sync.Mutex
	members   *member.Table // Guarded by membersMu.

	running  atomic.Int64 // Number of requests whose answers have not ended.
	waiting  atomic.Int64 // Number of running requests that wait for a permit.
	draining atomic.Bool

	callerServer *caller.Server
	peerServer   *peer.Server
	adminServer  *admin.Server
	listeners    [3]*tcp.AbortableListener // Listeners for callers, peers and admin, in this order.

	ctx    context.Context // Cancelled when the instance stops.
	cancel context.CancelFunc
	wg     conc.WaitGroup
}

// New opens the listeners and starts an instance, which runs until Stop or Kill. The error names the address on which
// it cannot listen.
func New(cfg Config) (*Instance, error) {
	cfg = cfg.withDefaults()
	i := &Instance{
		cfg:      cfg,
		log:      cfg.Log.With().Str("instance", cfg.ID).Logger(),
		store:    etcd.New(cfg.Store),
		engines:  engine.New(engine.Config{IdleTimeout: engineIdle, PollTimeout: enginePoll, MaxLineBytes: cfg.MaxLineBytes}),
		services: service.New(),
		platform: directory.New(cfg.PlatformAddress),
		replay:   newReplay(cfg.MaxReplayBytes),
	}
	i.metrics.Init()
	i.homes.Store(&map[string]*home{})
	i.peers = peer.NewClient(peer.ClientConfig{Key: cfg.PeerKey, Now: cfg.Now, Dial: cfg.Dial})
	if err := i.listen(); err != nil {
		return nil, err
	}
	i.members = member.New(member.Config{Self: member.Member{
		ID: cfg.ID, Incarnation: cfg.Incarnation, Address: i.PeerAddress(), DataCentre: cfg.DataCentre,
	}})
	i.ctx, i.cancel = context.WithCancel(context.Background())
	i.callerServer = caller.New(caller.Config{
		Scheduler: i, MaxBodyBytes: cfg.MaxBodyBytes, MaxHeaderBytes: cfg.MaxHeaderBytes, MaxConns: cfg.MaxConns,
		IdleTimeout: cfg.IdleTimeout, RequestTimeout: cfg.RequestTimeout, Now: cfg.Now,
	})
	i.peerServer = peer.NewServer(peer.ServerConfig{
		Keys: [][]byte{cfg.PeerKey, cfg.PreviousPeerKey}, Handler: (*handler)(i), Now: cfg.Now,
	})
	i.adminServer = admin.New(admin.Config{Ready: i.Ready, State: func() any { return i.State() }, Metrics: &i.metrics})
	for n, serve := range []func(net.Listener) error{i.callerServer.Serve, i.peerServer.Serve, i.adminServer.Serve} {
		i.wg.Go(func() {
			if err := serve(i.listeners[n]); err != nil {
				event.ListenerFailed.Log(&i.log).Err(err).Send()
			}
		})
	}
	i.wg.Go(i.followConfig)
	i.wg.Go(i.pollInstanceList)
	i.wg.Go(i.runHeartbeats)
	event.InstanceStarted.Log(&i.log).Str("callers", i.CallerAddress()).Str("peers", i.PeerAddress()).Send()
	return i, nil
}

// listen opens the three listeners.
func (i *Instance) listen() error {
	for n, addr := range []string{i.cfg.CallerAddress, i.cfg.PeerAddress, i.cfg.AdminAddress} {
		ln, err := tcp.ListenAbortable(addr)
		if err != nil {
			for _, open := range i.listeners[:n] {
				_ = open.Close()
			}
			return err
		}
		i.listeners[n] = ln
	}
	return nil
}

// CallerAddress returns the address for callers, IP:port.
func (i *Instance) CallerAddress() string { return i.listeners[0].Addr().String() }

// PeerAddress returns the address for other instances, IP:port.
func (i *Instance) PeerAddress() string { return i.listeners[1].Addr().String() }

// AdminAddress returns the address for health, state and metrics, IP:port.
func (i *Instance) AdminAddress() string { return i.listeners[2].Addr().String() }

// Metrics returns the counters of the instance.
func (i *Instance) Metrics() *expvar.Map { return &i.metrics }

// isolationTimeout is the time without an answer from the store or a peer after which an instance is no longer ready,
// so that the load balancer sends its callers to other instances.
const isolationTimeout = 5 * time.Second

// Ready reports whether the instance accepts requests: it has a configuration, is not draining and is not isolated.
func (i *Instance) Ready() bool {
	return i.holder.Current() != nil && !i.draining.Load() && i.cfg.Now().Sub(time.Unix(0, i.lastContact.Load())) < isolationTimeout
}

// recordContact records the time of an answer from the store or a peer.
func (i *Instance) recordContact() { i.lastContact.Store(i.cfg.Now().UnixNano()) }

// beginRequest adds a request to the running ones, or returns false if the instance is draining.
func (i *Instance) beginRequest() bool {
	i.running.Add(1)
	if i.draining.Load() {
		i.running.Add(-1)
		return false
	}
	return true
}

// endRequest removes a request from the running ones.
func (i *Instance) endRequest() { i.running.Add(-1) }

// sleep waits for the duration d or until the instance stops, and reports whether the instance still runs.
func (i *Instance) sleep(d time.Duration) bool {
	select {
	case <-i.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
