package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/place"
	"github.com/mustardseam/mustardseam/mustardseam/share"
)

// wordTime is how long the word of the others on their loads is used; the longest time between two words is a second.
const wordTime = 1500 * time.Millisecond

// silentLag is the age of what is known of instances that are silent: about as long as a request holds a slot, after which
// those that they sent end as often as new ones come.
const silentLag = time.Second

// hearing is what an instance hears from the others.
type hearing struct {
	loads map[string]place.Load            // That they have sent, by id of the backend server.
	leads bool                             // This instance is the hub.
	of    map[string]map[string]place.Load // What loads holds of each instance, at the hub.
	paces map[string]float64               // Milliseconds from token to token.
	sick  map[string]int                   // Instances that failed to reach a backend server, by its id.
	until time.Time                        // How long the word on sick ones holds.
	nodes []string                         // Instances that run, this one included.
	// stopping are instances that get no new requests and still have some at backend servers; known to the hub.
	stopping []string
	// sharers is the number of instances that may send to the backend servers. It is above that of nodes while others are
	// silent.
	sharers int
	used    map[string]share.Use // That went through them since the last word, by team.
}

// told returns what the others are to know of this instance and counts the use as told.
func (s *Scheduler) told() (own map[string]place.Load, paces map[string]float64, used map[string]share.Use) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.Own(), s.board.Paces(), s.quota.Told()
}

// sick returns the backend servers that this instance failed to reach.
func (s *Scheduler) sick(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.SickIDs(now)
}

// known returns what this instance and those for which it places have sent, by instance.
func (s *Scheduler) known() map[string]map[string]place.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	of := map[string]map[string]place.Load{s.cfg.node: s.board.Own()}
	for node, c := range s.desk.clients {
		of[node] = c.loads()
	}
	return of
}

// hear takes in what the others said.
func (s *Scheduler) hear(now time.Time, h hearing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if loads := s.others(now, h); loads != nil {
		s.board.SetOthers(loads)
		s.heard = now
	}
	s.board.Teach(h.paces)
	s.board.HearSick(now, h.sick, h.until)
	if !slices.Equal(s.nodes, h.nodes) {
		clear(s.allowances)
	}
	s.nodes, s.registered = h.nodes, nil
	s.sharers = max(h.sharers, len(s.members(now)))
	s.board.SetNodes(s.sharers, 1+len(s.desk.clients))
	if h.used != nil {
		s.quota.Hear(now, h.used)
	}
}

// others returns what the other instances have sent. What the hub places for them it knows without the delay of their
// words. mu is held.
func (s *Scheduler) others(now time.Time, h hearing) map[string]place.Load {
	if !h.leads {
		s.closeDesk(now)
		return h.loads
	}
	loads := maps.Clone(h.loads)
	for node, c := range s.desk.clients {
		for id, l := range h.of[node] {
			loads[id] = loads[id].Minus(l)
		}
		if !slices.Contains(h.nodes, node) && !slices.Contains(h.stopping, node) {
			s.dropClient(now, node)
			continue
		}
		for id, l := range c.loads() {
			loads[id] = loads[id].Plus(l)
		}
	}
	return loads
}

// lapse drops loads that are too old to tell which backend servers have room: an instance that is cut off from the others
// while all are full would refuse everything until it hears of them again. It keeps to its part of the slots meanwhile. mu
// is held.
func (s *Scheduler) lapse(now time.Time) {
	if now.Sub(s.heard) > wordTime {
		s.board.SetOthers(nil)
		s.heard = now
	}
}

// use takes in what went through another instance.
func (s *Scheduler) use(now time.Time, used map[string]share.Use) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota.Hear(now, used)
}

// levels returns what the quotas hold, and nil while this instance does not know it.
func (s *Scheduler) levels(now time.Time) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.quota.Settled(now) {
		return nil
	}
	return s.quota.Levels(now)
}

// settled reports whether this instance knows what was used before its start, or has run for a while.
func (s *Scheduler) settled(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quota.Settled(now)
}

// members returns the instances that share the bounds with this one, itself included. Until it is settled, those that are
// registered count as well: they may be starting at the same time. mu is held.
func (s *Scheduler) members(now time.Time) []string {
	if s.quota.Settled(now) {
		return s.nodes
	}
	v := s.cfg.view()
	if s.registered != v {
		clear(s.allowances)
		s.registered, s.starters = v, slices.Clone(s.nodes)
		heard := map[string]bool{}
		for _, name := range s.nodes {
			heard[name] = true
		}
		for name := range v.Nodes {
			if !heard[name] {
				s.starters = append(s.starters, name)
			}
		}
	}
	return s.starters
}

// adopt takes over what the quotas hold according to another instance.
func (s *Scheduler) adopt(now time.Time, levels map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota.Adopt(now, levels, len(s.members(now)))
}

// setLag says how old the word of the others is when it arrives, on average.
func (s *Scheduler) setLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	servers := 0
	v := s.cfg.view()
	for _, srv := range v.Servers {
		if v.Config == nil {
			break
		}
		if svc := v.Config.Service(srv.Service); svc != nil && svc.Engine {
			servers++
		}
	}
	if servers == 0 {
		return
	}
	if s.sharers > len(s.nodes) {
		lag = max(lag, silentLag)
	}
	served := 1 + len(s.desk.clients)
	others := s.starts.PerSecond(now) / float64(served) * float64(max(0, s.sharers-served))
	s.board.SetUnheard(others * lag.Seconds() / float64(servers))
}

// onOld returns how many requests all instances have at backend servers of a service with another version than the target.
func (s *Scheduler) onOld(v *fleet.View, service, target string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, srv := range v.Of(service) {
		if srv.Version != target {
			n += s.board.Load(srv).Requests
		}
	}
	return n
}

// Usual returns the time to the first event that is usual for the request of a grant, at any backend server of its
// service.
func (s *Scheduler) Usual(g *Grant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.Usual(g.Service, g.job)
}
