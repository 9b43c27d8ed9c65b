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

// listLag is the lag of the platform's list.
const listLag = 500 * time.Millisecond

// Config describes a cluster.
type Config struct {
	Site      Site
	Instances int // 8 when zero.
	Log       zerolog.Logger
	Request   time.Duration // Total time of a request; 30 s when zero.
}

// Cluster is a running site; its methods are safe for concurrent use.
type Cluster struct {
	Store    *store.Store
	Platform *platform.Platform
	Engines  []*engine.Engine
	Orders   []*orders.Service

	cfg       Config
	store     *etcd.Client
	storeAddr string
	platAddr  string
	wg        conc.WaitGroup
	listeners []net.Listener

	mu        sync.Mutex
	instances []*instance.Instance // Guarded by mu; nil where one was killed.
	document  operator.Document    // Guarded by mu.
	revision  uint64               // Guarded by mu.
	cut       map[int]bool         // Instances that reach nobody and are reached by nobody; guarded by mu.
}

// New starts the stand-ins and the instances and submits the site's configuration.
func New(cfg Config) (*Cluster, error) {
	if cfg.Instances == 0 {
		cfg.Instances = 8
	}
	if cfg.Request == 0 {
		cfg.Request = 30 * time.Second
	}
	c := &Cluster{cfg: cfg, cut: map[int]bool{}, Store: store.New(), Platform: &platform.Platform{Lag: listLag, Loads: 4, Period: time.Second}}
	var err error
	if c.storeAddr, err = c.serve(c.Store.Serve); err != nil {
		return nil, err
	}
	if c.platAddr, err = c.serve(c.Platform.Serve); err != nil {
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

// serve opens a loopback address and serves it until Close.
func (c *Cluster) serve(serve func(net.Listener) error) (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", eris.Wrap(err, "listen for a stand-in")
	}
	c.listeners = append(c.listeners, ln)
	c.wg.Go(func() { _ = serve(ln) })
	return ln.Addr().String(), nil
}

// startBackends starts engines and services and adds them to the document.
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

// AddEngine starts engine n with a version and adds it to the next document that is submitted.
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

// Start starts instance n anew.
func (c *Cluster) Start(n int) error {
	s := c.cfg.Site
	id := fmt.Sprintf("%s-entry-%d", s.Name, n+1)
	i, err := instance.New(instance.Config{
		ID: id, Incarnation: member.NewIncarnation(id, time.Now(), rand.Uint32()),
		Region: s.Region, DataCentre: s.DataCentres[n%len(s.DataCentres)],
		CallerAddress: loopback, PeerAddress: loopback, AdminAddress: loopback,
		Store:           etcd.Config{Addresses: []string{c.storeAddr}, Prefix: "mustardseam/"},
		PlatformAddress: c.platAddr, PlatformPollInterval: 200 * time.Millisecond, PeerKey: []byte("demo-peer-key"),
		RequestTimeout: c.cfg.Request, Log: c.cfg.Log,
		Dial: func(addr string, timeout time.Duration) (net.Conn, error) { return c.dial(n, addr, timeout) },
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[n] = i
	c.publish()
	return nil
}

// publish writes the platform's list; it must be called with mu held.
func (c *Cluster) publish() {
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

// Instance returns instance n, nil when it was stopped or killed.
func (c *Cluster) Instance(n int) *instance.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[n]
}

// Instances returns the number of instances of the layout.
func (c *Cluster) Instances() int { return c.cfg.Instances }

// Remove takes instance n off the platform's list and returns it.
func (c *Cluster) Remove(n int) *instance.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.instances[n]
	c.instances[n] = nil
	c.publish()
	return i
}

// Document returns the document that was submitted last.
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

// Submit changes the configuration.
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

// WaitReady waits until every instance takes requests and every pool has a home that may grant.
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

// Close ends everything.
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
