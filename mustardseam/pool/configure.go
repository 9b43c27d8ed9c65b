package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/capacity"
	"github.com/mustardseam/mustardseam/mustardseam/fair"
	"github.com/mustardseam/mustardseam/mustardseam/routing"
	"github.com/mustardseam/mustardseam/operator"
)

// tokensPerWaiting bounds the waiting tokens by the number of requests that may wait: a queue of long requests takes
// as long to serve as one of more short ones.
const tokensPerWaiting = 4096

// Configure puts a newer configuration in force; running requests stay counted.
func (p *Pool) Configure(now time.Time, cfg Config) {
	p.advance(now)
	p.cfg = cfg
	p.configureQueue()
	p.configureRoutes()
	p.configureServers(now)
	p.refuseUnservable()
}

func (p *Pool) configureQueue() {
	weights := make(map[string]float64, len(p.cfg.Teams))
	for _, t := range p.cfg.Teams {
		weights[t.Name] = t.Weight
	}
	n := p.cfg.Pool.MaxWaiting
	p.queue.Configure(fair.Config{MaxWaiting: n, MaxTokens: float64(n) * tokensPerWaiting}, weights)
}

func (p *Pool) configureRoutes() {
	old := p.routes
	p.routes = make(map[string]*route, len(p.cfg.Routes))
	for _, r := range p.cfg.Routes {
		rt := old[r.Name]
		if rt == nil {
			rt = &route{}
		}
		rt.Route = r
		p.routes[r.Name] = rt
	}
}

func (p *Pool) configureServers(now time.Time) {
	out := p.outOfService()
	for _, f := range p.fleets {
		f.inService = 0
	}
	old, order := p.servers, p.order
	p.servers = make(map[string]*server, len(p.cfg.Servers))
	p.order = make([]*server, 0, len(p.cfg.Servers))
	members := map[*capacity.Class]int{}
	for _, b := range p.cfg.Servers {
		s := old[b.Name]
		if s == nil {
			s = p.removed[b.Name]
			delete(p.removed, b.Name)
		}
		delete(old, b.Name)
		s = p.configureServer(now, s, b)
		s.out = b.Leaving || out[b.DataCentre]
		p.servers[b.Name] = s
		p.order = append(p.order, s)
		members[s.cap.Class()]++
		if !s.out {
			s.fleet.inService++
		}
	}
	for _, s := range order {
		if old[s.Name] != nil {
			p.dropServer(s)
		}
	}
	p.forgetUnused(members)
	for _, s := range p.order {
		p.refresh(s)
	}
}

// configureServer returns the server with its new configuration; a nil server is a new one.
func (p *Pool) configureServer(now time.Time, s *server, b operator.BackendServer) *server {
	limits := capacity.Limits{Warm: b.Limit, Cold: b.ColdLimit}
	class := p.class(b)
	switch {
	case s == nil:
		s = &server{cap: capacity.NewServer(limits, class)}
		s.cap.Share(p.share > 1)
	default:
		s.cap.Configure(now, limits, class)
	}
	s.cap.SetReports(!p.services())
	moved := s.node == nil || s.Version != b.Version || s.DataCentre != b.DataCentre
	if moved {
		p.leaveFleet(s)
	}
	s.BackendServer = b
	if moved {
		p.joinFleet(s)
	}
	s.node.Address = b.Address
	return s
}

func (p *Pool) class(b operator.BackendServer) *capacity.Class {
	k := classKey{b.Version, b.Hardware}
	c := p.classes[k]
	if c == nil {
		c = capacity.NewClass()
		p.classes[k] = c
	}
	return c
}

// outOfService returns the names of the data centres that get no new work.
func (p *Pool) outOfService() map[string]bool {
	out := map[string]bool{}
	for _, dc := range p.cfg.DataCentres {
		out[dc.Name] = dc.OutOfService
	}
	return out
}

// forgetUnused forgets the classes and fleets without servers.
func (p *Pool) forgetUnused(members map[*capacity.Class]int) {
	for v, f := range p.fleets {
		if f.members == 0 {
			delete(p.fleets, v)
		}
	}
	for k, c := range p.classes {
		c.Servers = members[c]
		if c.Servers == 0 {
			delete(p.classes, k)
		}
	}
}

func (p *Pool) joinFleet(s *server) {
	f := p.fleets[s.Version]
	if f == nil {
		f = &fleet{}
		p.fleets[s.Version] = f
	}
	f.members++
	s.fleet = f
	s.node = &routing.Node{Name: s.Name, Address: s.Address, DataCentre: s.DataCentre, Version: s.Version}
	p.picker.Add(s.node)
}

func (p *Pool) leaveFleet(s *server) {
	if s.node == nil {
		return
	}
	p.picker.Remove(s.node)
	s.node = nil
	s.fleet.probation = remove(s.fleet.probation, s)
	s.probe = false
	s.fleet.members--
	s.fleet.schedule()
}

// dropServer takes a server out that is no longer configured; its running requests stay counted.
func (p *Pool) dropServer(s *server) {
	s.out = true
	p.refresh(s)
	p.leaveFleet(s)
	s.cap.Leave()
	if s.cap.Own() > 0 {
		p.removed[s.Name] = s
	}
}

// services reports whether the backend servers are plain services.
func (p *Pool) services() bool { return p.cfg.Pool.Kind == operator.Services }
