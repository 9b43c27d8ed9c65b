package fleet

import (
	"maps"
	"time"
)

// lapsedGracePeriod is how long a backend server is still used after its entry expired in or right after an outage of the
// store. It is just below two seconds: entries of live backend servers come back within that time, and a server that is
// leaving must get no requests after it.
const lapsedGracePeriod = 1800 * time.Millisecond

// View is an instance's snapshot of the deployment; it is immutable.
type View struct {
	Revision         int64 // Highest store revision that the view includes.
	Config           *Config
	Servers          map[string]*Server        // Backend servers by ID.
	Leaving          map[Incarnation]time.Time // Backend servers that announced their shutdown, with the time when it was learned.
	OutOfService     map[string]int64          // Data centres that are out of service, with the store revision of the order.
	Rollouts         map[string]ServiceRollout // Rollout orders by service.
	Progress         map[string]Progress       // Progress of rollouts by service.
	Instances        map[string]Instance       // Instances by name.
	serversByService map[string][]*Server
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		Servers: map[string]*Server{}, Leaving: map[Incarnation]time.Time{}, OutOfService: map[string]int64{},
		Rollouts: map[string]ServiceRollout{}, Progress: map[string]Progress{}, Instances: map[string]Instance{},
		serversByService: map[string][]*Server{},
	}
}

// ServersOf returns the backend servers of a service, including draining and lapsed ones, in no particular order.
func (v *View) ServersOf(service string) []*Server { return v.serversByService[service] }

// With returns the view with the changes applied in order. A configuration is never replaced by an older version.
func (v *View) With(changes ...Change) *View {
	b := viewBuilder{View: *v}
	for _, c := range changes {
		b.apply(c)
	}
	if b.serversCopied {
		b.indexServers()
	}
	return &b.View
}

// WithoutLapsed returns the view without the backend servers whose entries expired at least lapsedGracePeriod ago.
func (v *View) WithoutLapsed(now time.Time) *View {
	var pastGrace []string
	for id, s := range v.Servers {
		if !s.Lapsed.IsZero() && now.Sub(s.Lapsed) >= lapsedGracePeriod {
			pastGrace = append(pastGrace, id)
		}
	}
	if len(pastGrace) == 0 {
		return v
	}
	next := *v
	next.Servers = maps.Clone(v.Servers)
	for _, id := range pastGrace {
		delete(next.Servers, id)
	}
	next.indexServers()
	return &next
}

// indexServers rebuilds the index of backend servers by service.
func (v *View) indexServers() {
	v.serversByService = map[string][]*Server{}
	for _, s := range v.Servers {
		v.serversByService[s.Service] = append(v.serversByService[s.Service], s)
	}
}
