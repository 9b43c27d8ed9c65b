package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/mustardseam/mustardseam/mustardseam/etcd"
	"github.com/mustardseam/mustardseam/mustardseam/instance"
	"github.com/mustardseam/mustardseam/mustardseam/member"
	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/operator"
	"github.com/mustardseam/mustardseam/standin/engine"
	store "github.com/mustardseam/mustardseam/standin/etcd"
	"github.com/mustardseam/mustardseam/standin/orders"
	"github.com/mustardseam/mustardseam/standin/platform"
)

const loopback = "127.0.0.1:0"

// listLag is the delay with which the platform publishes changes of its instance list.
const listLag = 500 * time.Millisecond

// Config holds the settings of a cluster.
type Config struct {
	Site           Site
	Instances      int // Number of instances; 8 when zero.
	Log            zerolog.Logger
	RequestTimeout time.Duration // Time limit of a whole request; 30 s when zero.
}

// Cluster is a site that runs in this process; its methods are safe for concurrent use.
type Cluster struct {
	Store    *store.Store
	Platform *platform.Platform
	Engines  []*engine.Engine
	Orders   []*orders.Service

	cfg          Config
	store        *etcd.Client
	storeAddr    string
	platformAddr string
	wg           conc.WaitGroup
	listeners    []net.Listener

	mu          sync.Mutex
	instances   []*instance.Instance // Guarded by mu; nil where an instance was removed.
	document    operator.Document    // Guarded by mu.
	revision    uint64               // Guarded by mu.
	partitioned map[int]bool         // Indexes of the instances that are cut off from the store and from other instances; guarded by mu.
}

// New starts the stand-ins and the instances and submits the site's configuration.
func New(cfg Config) (*Cluster, error) {
	if cfg.Instances == 0 {
		cfg.Instances = 8
	}
	if cfg.RequestTimeout == 0 {
		cfg.RequestTimeout = 30 * time.Second
	}
	c := &Cluster{cfg: cfg, partitioned: map[int]bool{}, Store: store.New(), Platform: &platform.Platform{Lag: listLag, Loads: 4, Period: time.Second}}
	var err error
	if c.storeAddr, err = c.serve(c.Store.Serve); err != nil {
		return nil, err
	}
	if c.platformAddr, err = c.serve(c.Platform.Serve); err != nil {
		return nil, err
	}
	c.store = etcd.New(etcd.Config{Addresses: []string{c.storeAddr}, Prefix: "mustardseam/"})
	c.document = cfg.Site.document()
	if err := c.startBackends(); err != nil {
		return nil, err
	}
	if err := c.Submit("setup", func(d operator.Document) operator.Document { return d }); err != nil {
		return nil, err
	}
	c.instances = make([]*instance.Instance, cfg.Instances)
	for n := range cfg.Instances {
		if err := c.Start(n); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// serve listens on a free loopback port and runs the server until Close.
func (c *Cluster) serve(serve func(net.Listener) error) (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", eris.Wrap(err, "listen for a stand-in")
	}
	c.listeners = append(c.listeners, ln)
	c.wg.Go(func() { _ = serve(ln) })
	return ln.Addr().String(), nil
}

// startBackends starts the engines and services and adds them and their routes to the document.
func (c *Cluster) startBackends() error {
	s := c.cfg.Site
	for n := range s.Engines {
		if _, err := c.AddEngine(n, Version); err != nil {
			return err
		}
	}
	for n := range s.Services {
		svc := &orders.Service{Delay: 5 * time.Millisecond}
		addr, err := c.serve(svc.Serve)
		if err != nil {
			return err
		}
		c.Orders = append(c.Orders, svc)
		c.document = c.document.WithBackendServer(operator.BackendServer{
			Name: fmt.Sprintf("%s-%d", s.Orders, n+1), Pool: ServicePool, DataCentre: s.DataCentres[n%len(s.DataCentres)],
			Address: addr, Version: Version, Limit: 8, ColdLimit: 8,
		})
	}
	c.document = c.document.
		WithRoute(operator.Route{Name: s.Model, Pool: ModelPool, Version: Version}).
		WithRoute(operator.Route{Name: s.Orders, Pool: ServicePool, Version: Version, NonIdempotent: true})
	return nil
}

// AddEngine starts engine n with the given version; the next Submit adds it to the configuration.
func (c *Cluster) AddEngine(n int, version string) (*engine.Engine, error) {
	s := c.cfg.Site
	name := fmt.Sprintf("%s-%s-%d", s.Model, version, n+1)
	cfg, g := engineConfig(name, n, version)
	e := engine.New(cfg)
	addr, err := c.serve(e.Serve)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Engines = append(c.Engines, e)
	c.document = c.document.WithBackendServer(operator.BackendServer{
		Name: name, Pool: ModelPool, DataCentre: s.DataCentres[n%len(s.DataCentres)], Address: addr,
		Hardware: g.name, Version: version, Limit: cfg.MaxBatch, ColdLimit: cfg.ColdLimit, ChecksFencing: cfg.ChecksFencing,
	})
	return e, nil
}

// Start starts instance n with a new incarnation.
func (c *Cluster) Start(n int) error {
	s := c.cfg.Site
	id := fmt.Sprintf("%s-entry-%d", s.Name, n+1)
	i, err := instance.New(instance.Config{
		ID: id, Incarnation: member.NewIncarnation(id, time.Now(), rand.Uint32()),
		Region: s.Region, DataCentre: s.DataCentres[n%len(s.DataCentres)],
		CallerAddress: loopback, PeerAddress: loopback, AdminAddress: loopback,
		Store:           etcd.Config{Addresses: []string{c.storeAddr}, Prefix: "mustardseam/"},
		PlatformAddress: c.platformAddr, PlatformPollInterval: 200 * time.Millisecond, PeerKey: []byte("demo-peer-key"),
		RequestTimeout: c.cfg.RequestTimeout, Log: c.cfg.Log,
		Dial: func(addr string, timeout time.Duration) (net.Conn, error) { return c.dial(n, addr, timeout) },
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[n] = i
	c.publishInstances()
	return nil
}

// publishInstances replaces the platform's instance list with the running instances; it must be called with mu held.
func (c *Cluster) publishInstances() {
	var list []platform.Instance
	for n, i := range c.instances {
		if i != nil {
			s := c.cfg.Site
			list = append(list, platform.Instance{
				ID: fmt.Sprintf("%s-entry-%d", s.Name, n+1), Address: i.PeerAddress(),
				DataCentre: s.DataCentres[n%len(s.DataCentres)], State: "live",
			})
		}
	}
	c.Platform.Set(list)
}

// Instance returns instance n, or nil when it was removed.
func (c *Cluster) Instance(n int) *instance.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[n]
}

// Instances returns the configured number of instances, removed ones included.
func (c *Cluster) Instances() int { return c.cfg.Instances }

// Remove deletes instance n from the platform's instance list and returns it; it keeps running.
func (c *Cluster) Remove(n int) *instance.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.instances[n]
	c.instances[n] = nil
	c.publishInstances()
	return i
}

// Document returns the last accepted document with the engines that were added since.
func (c *Cluster) Document() operator.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document
}

// Revision returns the revision of the last accepted document.
func (c *Cluster) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Submit applies change to the current document and submits the result as the next revision.
func (c *Cluster) Submit(id string, change func(operator.Document) operator.Document) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := change(c.document)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	done, err := revision.Submit(ctx, c.store, revision.Submission{
		ID: id, Author: "demo", Base: c.revision, Document: next, At: time.Now(),
	})
	if err != nil {
		return err
	}
	c.document = next
	c.revision = done.Revision
	return nil
}

// WaitReady waits until every instance accepts requests and every pool has a home that may grant permits.
func (c *Cluster) WaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c.ready() {
			return nil
		}
	}
	return eris.New("the cluster did not become ready")
}

func (c *Cluster) ready() bool {
	homes := map[string]bool{}
	for n := range c.cfg.Instances {
		i := c.Instance(n)
		if i == nil {
			continue
		}
		if !i.Ready() {
			return false
		}
		for name, p := range i.State().Pools {
			homes[name] = homes[name] || p.Mode == "home"
		}
	}
	return homes[ModelPool] && homes[ServicePool]
}

// Close stops the instances and the stand-ins.
func (c *Cluster) Close() {
	for n := range c.cfg.Instances {
		if i := c.Remove(n); i != nil {
			i.Kill()
		}
	}
	for _, e := range c.Engines {
		e.Close()
	}
	c.store.Close()
	for _, ln := range c.listeners {
		_ = ln.Close()
	}
	c.wg.Wait()
}

// StoreAddress returns the address of the store, IP:port.
func (c *Cluster) StoreAddress() string { return c.storeAddr }
