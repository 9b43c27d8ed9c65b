package fleet

import (
	"maps"
	"time"
)

// lapse is how long a backend server is still used after its entry went away right after an outage of the store. Entries
// of living backend servers come back within two seconds; one that is leaving must get nothing later than that.
const lapse = 1800 * time.Millisecond

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

// With returns the view after changes, in their order. A configuration never goes back to an older version.
func (v *View) With(changes ...Change) *View {
	d := draft{View: *v}
	for _, c := range changes {
		d.apply(c)
	}
	if d.ownServers {
		d.index()
	}
	return &d.View
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
