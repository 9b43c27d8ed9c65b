package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/capacity"
	"github.com/mustardseam/mustardseam/mustardseam/fair"
	"github.com/mustardseam/mustardseam/mustardseam/routing"
	"github.com/mustardseam/mustardseam/operator"
)

// maxTokensPerWaiting is the limit of queued tokens for each request that may wait. Tokens are limited because a queue
// of few long requests takes as long to serve as one of many short requests.
const maxTokensPerWaiting = 4096

// Configure applies a newer configuration. Running requests stay counted.
func (p *Pool) Configure(now time.Time, cfg Config) {
	p.advanceClock(now)
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
	p.queue.Configure(fair.Config{MaxWaiting: n, MaxTokens: float64(n) * maxTokensPerWaiting}, weights)
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
	out := p.outOfServiceDataCentres()
	for _, f := range p.versionGroups {
		f.inService = 0
	}
	oldServers, oldList := p.servers, p.serverList
	p.servers = make(map[string]*server, len(p.cfg.Servers))
	p.serverList = make([]*server, 0, len(p.cfg.Servers))
	members := map[*capacity.Class]int{}
	for _, b := range p.cfg.Servers {
		s := oldServers[b.Name]
		if s == nil {
			s = p.removedServers[b.Name]
			delete(p.removedServers, b.Name)
		}
		delete(oldServers, b.Name)
		s = p.configureServer(now, s, b)
		s.outOfService = b.Leaving || out[b.DataCentre]
		p.servers[b.Name] = s
		p.serverList = append(p.serverList, s)
		members[s.capacity.Class()]++
		if !s.outOfService {
			s.versionGroup.inService++
		}
	}
	for _, s := range oldList {
		if oldServers[s.Name] != nil {
			p.dropServer(s)
		}
	}
	p.deleteUnused(members)
	for _, s := range p.serverList {
		p.refresh(s)
	}
}

// configureServer applies the configuration to the server and returns it; a nil server is created.
func (p *Pool) configureServer(now time.Time, s *server, b operator.BackendServer) *server {
	limits := capacity.Limits{Warm: b.Limit, Cold: b.ColdLimit}
	class := p.classFor(b)
	switch {
	case s == nil:
		s = &server{capacity: capacity.NewServer(limits, class)}
		s.capacity.SetShared(p.instances > 1)
	default:
		s.capacity.Configure(now, limits, class)
	}
	s.capacity.SetSendsReports(!p.isServicePool())
	moved := s.node == nil || s.Version != b.Version || s.DataCentre != b.DataCentre
	if moved {
		p.leaveVersionGroup(s)
	}
	s.BackendServer = b
	if moved {
		p.joinVersionGroup(s)
	}
	s.node.Address = b.Address
	return s
}

// classFor returns the speed class of the server's version and hardware, creating it if needed.
func (p *Pool) classFor(b operator.BackendServer) *capacity.Class {
	k := classKey{b.Version, b.Hardware}
	c := p.classes[k]
	if c == nil {
		c = capacity.NewClass()
		p.classes[k] = c
	}
	return c
}

// outOfServiceDataCentres returns, by name, which data centres are out of service and get no new requests.
func (p *Pool) outOfServiceDataCentres() map[string]bool {
	out := map[string]bool{}
	for _, dc := range p.cfg.DataCentres {
		out[dc.Name] = dc.OutOfService
	}
	return out
}

// deleteUnused deletes the classes and version groups that have no servers.
func (p *Pool) deleteUnused(members map[*capacity.Class]int) {
	for v, f := range p.versionGroups {
		if f.members == 0 {
			delete(p.versionGroups, v)
		}
	}
	for k, c := range p.classes {
		c.MemberCount = members[c]
		if c.MemberCount == 0 {
			delete(p.classes, k)
		}
	}
}

// joinVersionGroup adds the server to the group of its version and to the picker.
func (p *Pool) joinVersionGroup(s *server) {
	f := p.versionGroups[s.Version]
	if f == nil {
		f = &versionGroup{}
		p.versionGroups[s.Version] = f
	}
	f.members++
	s.versionGroup = f
	s.node = &routing.Node{Name: s.Name, Address: s.Address, DataCentre: s.DataCentre, Version: s.Version}
	p.picker.Add(s.node)
}

// leaveVersionGroup removes the server from the group of its version and from the picker, if it is there.
func (p *Pool) leaveVersionGroup(s *server) {
	if s.node == nil {
		return
	}
	p.picker.Remove(s.node)
	s.node = nil
	s.versionGroup.probation = deleteServer(s.versionGroup.probation, s)
	s.inProbationList = false
	s.versionGroup.members--
	s.versionGroup.updateNextProbe()
}

// dropServer removes a server that is no longer configured. Its running requests stay counted.
func (p *Pool) dropServer(s *server) {
	s.outOfService = true
	p.refresh(s)
	p.leaveVersionGroup(s)
	s.capacity.ClearProbation()
	if s.capacity.Own() > 0 {
		p.removedServers[s.Name] = s
	}
}

// isServicePool reports whether the backend servers are plain services rather than inference engines.
func (p *Pool) isServicePool() bool { return p.cfg.Pool.Kind == operator.Services }
