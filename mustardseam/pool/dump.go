package pool

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// State is the whole state of a pool's home for operators.
type State struct {
	Epoch   uint64        `json:"epoch"`
	Share   int           `json:"share"` // Above 1 in static share mode.
	Waiting int           `json:"waiting"`
	Running int           `json:"running"`
	Tokens  float64       `json:"tokens"` // Waiting.
	Teams   []TeamState   `json:"teams"`
	Servers []ServerState `json:"servers"`
	Splits  []SplitState  `json:"splits,omitempty"`
	Blocked []string      `json:"blocked,omitempty"` // Rolled back versions.
}

// TeamState is a waiting team in a tier.
type TeamState struct {
	Tier    int           `json:"tier"`
	Team    string        `json:"team"`
	Waiting int           `json:"waiting"`
	Tokens  float64       `json:"tokens"`
	Oldest  time.Duration `json:"oldest"` // Nanoseconds that the oldest request has waited.
	Reason  string        `json:"reason"` // Why it is not served.
}

// ServerState is a backend server as the home counts it.
type ServerState struct {
	Name    string  `json:"name"`
	Version string  `json:"version"`
	Limit   int     `json:"limit"`  // In force now.
	Own     int     `json:"own"`    // Requests that this home granted.
	Others  int     `json:"others"` // Other requests that may be running.
	Room    int     `json:"room"`
	Factor  float64 `json:"factor"` // Slowness against servers of the same kind.
	State   string  `json:"state"`
}

// SplitState is a route whose traffic moves to another version.
type SplitState struct {
	Route string  `json:"route"`
	To    string  `json:"to"`
	Share float64 `json:"share"`
	Total int     `json:"total"` // Grants since the share was set.
	Moved int     `json:"moved"` // Of these, to the new version.
}

// Dump returns the state, in the order of tiers, teams and names.
func (p *Pool) Dump() State {
	st := State{Epoch: p.epoch, Share: p.share, Waiting: p.queue.Len(), Tokens: p.queue.Tokens()}
	st.Running = len(p.requests) - st.Waiting
	for _, w := range p.queue.Teams() {
		r := p.requests[w.Oldest.ID]
		st.Teams = append(st.Teams, TeamState{
			w.Rank, w.Team, w.Items, w.Tokens, p.now.Sub(r.arrived), p.reason(r),
		})
	}
	for _, s := range p.order {
		st.Servers = append(st.Servers, ServerState{
			s.Name, s.Version, s.limit, s.cap.Own(), s.cap.Others(), s.room, s.cap.Factor(), s.state(),
		})
	}
	for _, rt := range p.routes {
		if sp := rt.split; sp != nil {
			st.Splits = append(st.Splits, SplitState{rt.Name, sp.to, sp.share, sp.total, sp.moved})
		}
	}
	for k := range p.blocked {
		st.Blocked = append(st.Blocked, k.version+" on "+cmp.Or(k.route, "every route"))
	}
	st.sort()
	return st
}

func (st *State) sort() {
	slices.SortFunc(st.Teams, func(a, b TeamState) int {
		return cmp.Or(a.Tier-b.Tier, cmp.Compare(a.Team, b.Team))
	})
	slices.SortFunc(st.Servers, func(a, b ServerState) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(st.Splits, func(a, b SplitState) int { return cmp.Compare(a.Route, b.Route) })
	slices.Sort(st.Blocked)
}

// state says what limits the server.
func (s *server) state() string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.out:
		return "data centre out of service"
	case !s.usable():
		return "runs version " + s.runs
	case s.cap.Unknown():
		return "awaits a load report"
	case s.cap.Probation():
		return "probation"
	case s.cap.Cold():
		return "cold"
	case s.room == 0:
		return "full"
	}
	return "ready"
}

// reason says why the request is not served.
func (p *Pool) reason(r *request) string {
	rt := p.routes[r.Route]
	if rt == nil {
		return "unknown route " + r.Route
	}
	if p.open(rt) {
		return "is served with the next decision"
	}
	versions := p.versions(rt, r.Attempt > 0)
	states := map[string]int{}
	for _, s := range p.order {
		if s.Version == versions[0] || s.Version == versions[1] {
			states[s.state()]++
		}
	}
	if len(states) == 0 {
		return "no backend server runs a version that the route may use now"
	}
	names := make([]string, 0, len(states))
	for name, n := range states {
		names = append(names, fmt.Sprintf("%d %s", n, name))
	}
	slices.Sort(names)
	return fmt.Sprintf("no room on route %s: backend servers %v", r.Route, names)
}
