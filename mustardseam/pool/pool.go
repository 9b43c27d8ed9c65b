package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/operator"
)

// Pool holds the queue of one pool in one region and the occupancy of its backend servers; it is not safe for
// concurrent use.
type Pool struct {
	cfg     Config
	epoch   uint64
	share   int
	order   []string
	servers map[string]*server
	routes  map[string]operator.Route
	waiting map[int][]Ask
	running map[string]string
}

// server is what the home knows of a backend server.
type server struct {
	operator.BackendServer
	out     bool
	cold    bool
	running int
}

// New returns a pool without requests for the given configuration.
func New(cfg Config) *Pool {
	p := &Pool{share: 1, servers: map[string]*server{}, waiting: map[int][]Ask{}, running: map[string]string{}}
	p.Configure(time.Time{}, cfg)
	return p
}

// Configure puts a newer configuration in force; running requests stay counted.
func (p *Pool) Configure(_ time.Time, cfg Config) {
	p.cfg = cfg
	out := map[string]bool{}
	for _, dc := range cfg.DataCentres {
		out[dc.Name] = dc.OutOfService
	}
	p.routes = map[string]operator.Route{}
	for _, r := range cfg.Routes {
		p.routes[r.Name] = r
	}
	old := p.servers
	p.servers = map[string]*server{}
	p.order = p.order[:0]
	for _, b := range cfg.Servers {
		s := old[b.Name]
		if s == nil {
			s = &server{cold: true}
		}
		s.BackendServer = b
		s.out = b.Leaving || out[b.DataCentre]
		p.servers[b.Name] = s
		p.order = append(p.order, b.Name)
	}
}

// SetEpoch sets the epoch that permits carry.
func (p *Pool) SetEpoch(epoch uint64) { p.epoch = epoch }

// SetShare lets the pool use only 1/n of each limit; it is above 1 in static share mode.
func (p *Pool) SetShare(n int) { p.share = max(1, n) }

// Ask puts a request into the queue; an ask with the id of a waiting or running one has no effect.
func (p *Pool) Ask(_ time.Time, a Ask) {
	if _, ok := p.running[a.ID]; ok {
		return
	}
	for _, w := range p.waiting[a.Tier] {
		if w.ID == a.ID {
			return
		}
	}
	p.waiting[a.Tier] = append(p.waiting[a.Tier], a)
}

// Withdraw takes a waiting request out of the queue and reports whether it was there.
func (p *Pool) Withdraw(_ time.Time, id string) bool {
	for tier, list := range p.waiting {
		for i, a := range list {
			if a.ID == id {
				p.waiting[tier] = append(list[:i], list[i+1:]...)
				return true
			}
		}
	}
	return false
}

// Done accounts for the end of a granted request.
func (p *Pool) Done(_ time.Time, o Outcome) {
	name, ok := p.running[o.Ask]
	if !ok {
		return
	}
	delete(p.running, o.Ask)
	if s := p.servers[name]; s != nil {
		s.running--
	}
}

// Report takes in a load report.
func (p *Pool) Report(_ time.Time, r Report) {
	if s := p.servers[r.Server]; s != nil {
		s.cold = r.Cold
	}
}

// Cache takes in cache events, which may be late and have gaps.
func (p *Pool) Cache(_ time.Time, _ []CacheEvent) {}

// Decide returns the permits and refusals that are due.
func (p *Pool) Decide(now time.Time) Decisions {
	var d Decisions
	for tier := range len(p.cfg.Tiers) {
		rest := p.waiting[tier][:0]
		for _, a := range p.waiting[tier] {
			if now.After(a.Deadline) {
				d.Refusals = append(d.Refusals, Refusal{Ask: a.ID, Reason: TooLate})
				continue
			}
			s := p.pick(a)
			if s == nil {
				rest = append(rest, a)
				continue
			}
			s.running++
			p.running[a.ID] = s.Name
			d.Permits = append(d.Permits, Permit{
				Ask: a.ID, Server: s.Name, Address: s.Address, Version: s.Version, Epoch: p.epoch,
			})
		}
		p.waiting[tier] = rest
	}
	return d
}

// pick returns the backend server with the most room, or nil.
func (p *Pool) pick(a Ask) *server {
	var best *server
	for _, name := range p.order {
		s := p.servers[name]
		limit := s.Limit
		if s.cold {
			limit = s.ColdLimit
		}
		if s.out || s.Version != p.routes[a.Route].Version || s.running >= limit/p.share {
			continue
		}
		if best == nil || s.running < best.running {
			best = s
		}
	}
	return best
}
