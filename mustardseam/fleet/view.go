package fleet

import (
	"maps"
	"time"
)

// lapse is how long a backend server is still used after its entry went away right after an outage of the store. Entries
// of living backend servers come back within two seconds; one that is leaving must get nothing later than that.
const lapse = 1800 * time.Millisecond

// leavingRetention is how long it is kept that an incarnation leaves after its entry is gone. It covers copies of the store
// that still list it; a planned end takes seconds.
const leavingRetention = 10 * time.Minute

// View is what an instance believes at a moment; it is immutable.
type View struct {
	Revision int64 // Of the store.
	Config   *Config
	Servers  map[string]*Server        // By id.
	Leaving  map[Incarnation]time.Time // Backend servers that said that they leave, with when this instance learned of it.
	Out      map[string]int64          // Data centres that are taken out, with the revision of the order.
	Rollouts map[string]Rollout        // By service.
	Progress map[string]Progress
	Nodes    map[string]Node // Instances of this system by name.
	services map[string][]*Server
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		Servers: map[string]*Server{}, Leaving: map[Incarnation]time.Time{}, Out: map[string]int64{}, Rollouts: map[string]Rollout{},
		Progress: map[string]Progress{}, Nodes: map[string]Node{}, services: map[string][]*Server{},
	}
}

// Of returns the backend servers of a service that may be used at all, in no fixed order.
func (v *View) Of(service string) []*Server { return v.services[service] }

// With returns the view after a change. A configuration never goes back to an older version.
func (v *View) With(c Change) *View {
	next := *v
	next.Revision = max(next.Revision, c.Revision)
	switch {
	case c.Config != nil:
		if v.Config == nil || c.Config.Version >= v.Config.Version {
			next.Config = c.Config
		}
	case c.Server != nil:
		next.Servers = maps.Clone(v.Servers)
		next.Servers[c.Server.ID] = v.inherit(c.Server)
		next.index()
	case c.Leaving != nil:
		next.leave(*c.Leaving, c.Time)
	case c.Gone != "":
		next.Servers = maps.Clone(v.Servers)
		delete(next.Servers, c.Gone)
		if old := v.Servers[c.Gone]; old != nil && c.Lapse && !old.Draining {
			s := *old
			if s.Lapsed.IsZero() {
				s.Lapsed = c.Time
			}
			next.Servers[c.Gone] = &s
		}
		next.index()
	case c.Out != "":
		next.Out = maps.Clone(v.Out)
		if c.Removed {
			delete(next.Out, c.Out)
		} else {
			next.Out[c.Out] = c.Revision
		}
	case c.Rollout != nil:
		next.Rollouts = maps.Clone(v.Rollouts)
		r := *c.Rollout
		if old, ok := v.Rollouts[r.Service]; ok && old.Revision == r.Revision {
			r.Ordered = old.Ordered
		}
		next.Rollouts[r.Service] = r
		if c.Removed {
			delete(next.Rollouts, r.Service)
		}
	case c.Progress != nil:
		next.Progress = maps.Clone(v.Progress)
		next.Progress[c.Service] = *c.Progress
	case c.Node != nil:
		next.Nodes = maps.Clone(v.Nodes)
		next.Nodes[c.Node.Name] = *c.Node
		if c.Removed {
			delete(next.Nodes, c.Node.Name)
		}
	}
	return &next
}

// WithoutLapsed returns the view without backend servers whose entries have been away for too long.
func (v *View) WithoutLapsed(now time.Time) *View {
	var gone []string
	for id, s := range v.Servers {
		if !s.Lapsed.IsZero() && now.Sub(s.Lapsed) >= lapse {
			gone = append(gone, id)
		}
	}
	if len(gone) == 0 {
		return v
	}
	next := *v
	next.Servers = maps.Clone(v.Servers)
	for _, id := range gone {
		delete(next.Servers, id)
	}
	next.index()
	return &next
}

// index groups the backend servers by service.
func (v *View) index() {
	v.services = map[string][]*Server{}
	for _, s := range v.Servers {
		v.services[s.Service] = append(v.services[s.Service], s)
	}
}

// inherit keeps what is known better of the incarnation of an entry.
func (v *View) inherit(s *Server) *Server {
	next := *s
	if old := v.Servers[s.ID]; old != nil && old.Incarnation() == s.Incarnation() {
		next.Seen = old.Seen
		next.Draining = s.Draining || old.Draining
	}
	if _, leaving := v.Leaving[s.Incarnation()]; leaving {
		next.Draining = true
	}
	return &next
}

// leave records on a view in the making that an incarnation leaves.
func (v *View) leave(id Incarnation, now time.Time) {
	leaving := map[Incarnation]time.Time{}
	for other, at := range v.Leaving {
		if s := v.Servers[other.ID]; s != nil && s.Incarnation() == other || now.Sub(at) < leavingRetention {
			leaving[other] = at
		}
	}
	leaving[id] = now
	v.Leaving = leaving
	if s := v.Servers[id.ID]; s != nil && s.Incarnation() == id && !s.Draining {
		next := *s
		next.Draining = true
		v.Servers = maps.Clone(v.Servers)
		v.Servers[id.ID] = &next
		v.index()
	}
}
