package pool

import "github.com/mustardseam/mustardseam/operator"

// Cold reports whether the named server is known to be in cold start.
func (p *Pool) Cold(name string) bool {
	s := p.servers[name]
	return s != nil && s.capacity.Cold()
}

// Load returns the occupancy of the named server as a share of its limit: 0 to 1, or above 1 if it is overloaded.
func (p *Pool) Load(name string) float64 {
	s := p.servers[name]
	if s == nil || s.limit == 0 {
		return 0
	}
	return float64(s.capacity.Occupancy()) / float64(s.limit)
}

// Mismatched returns the idle servers in service whose load reports show a version other than the configured one.
func (p *Pool) Mismatched() []operator.BackendServer {
	var list []operator.BackendServer
	for _, b := range p.cfg.Servers {
		s := p.servers[b.Name]
		if s != nil && !s.outOfService && !s.usable() && s.capacity.Occupancy() == 0 {
			list = append(list, s.BackendServer)
		}
	}
	return list
}
