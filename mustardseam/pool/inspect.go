package pool

import "github.com/mustardseam/mustardseam/operator"

// Cold reports whether the named server is in cold start as far as is known.
func (p *Pool) Cold(name string) bool {
	s := p.servers[name]
	return s != nil && s.cap.Cold()
}

// Load returns the share of the named server's limit that is in use, 0 to 1 and above when it is overloaded.
func (p *Pool) Load(name string) float64 {
	s := p.servers[name]
	if s == nil || s.limit == 0 {
		return 0
	}
	return float64(s.cap.Occupancy()) / float64(s.limit)
}

// Mismatched returns the idle servers in service whose load reports show another version than the configuration.
func (p *Pool) Mismatched() []operator.BackendServer {
	var list []operator.BackendServer
	for _, b := range p.cfg.Servers {
		s := p.servers[b.Name]
		if s != nil && !s.out && !s.usable() && s.cap.Occupancy() == 0 {
			list = append(list, s.BackendServer)
		}
	}
	return list
}
