package pool

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// State is the full state of a pool's home instance, as shown to operators.
type State struct {
	Epoch   uint64        `json:"epoch"`
	Share   int           `json:"share"` // Instances that divide the limits; above 1 in static share mode.
	Waiting int           `json:"waiting"`
	Running int           `json:"running"`
	Tokens  float64       `json:"tokens"` // Estimated cost of the waiting requests.
	Teams   []TeamState   `json:"teams"`
	Servers []ServerState `json:"servers"`
	Splits  []SplitState  `json:"splits,omitempty"`
	Blocked []string      `json:"blocked,omitempty"` // Rolled back versions, each with its route.
}

// TeamState describes the waiting requests of a team in a tier.
type TeamState struct {
	Tier       int           `json:"tier"`
	Team       string        `json:"team"`
	Waiting    int           `json:"waiting"`
	Tokens     float64       `json:"tokens"`
	OldestWait time.Duration `json:"oldest"` // Time that the oldest request has waited, in nanoseconds.
	Reason     string        `json:"reason"` // Why the oldest request is not served.
}

// ServerState describes a backend server as the home instance counts it.
type ServerState struct {
	Name     string  `json:"name"`
	Version  string  `json:"version"`
	Limit    int     `json:"limit"`  // Limit in force now.
	Own      int     `json:"own"`    // Running requests granted by this home instance.
	Others   int     `json:"others"` // Other requests that may be running.
	Room     int     `json:"room"`   // Requests that may be granted now.
	Slowness float64 `json:"factor"` // Slowdown relative to servers of the same kind; 1 is normal.
	State    string  `json:"state"`
}

// SplitState describes a route whose traffic is moving to another version.
type SplitState struct {
	Route        string  `json:"route"`
	To           string  `json:"to"`
	Share        float64 `json:"share"` // Largest share of the grants that may go to the new version, 0 to 1.
	Grants       int     `json:"total"` // Grants since the share was set.
	TargetGrants int     `json:"moved"` // Grants to the new version since the share was set.
}

// Dump returns the state, sorted by tier, team and name.
func (p *Pool) Dump() State {
	st := State{Epoch: p.epoch, Share: p.instances, Waiting: p.queue.Len(), Tokens: p.queue.Tokens()}
	st.Running = len(p.requests) - st.Waiting
	for _, w := range p.queue.Teams() {
		r := p.requests[w.Oldest.ID]
		st.Teams = append(st.Teams, TeamState{
			w.Rank, w.Team, w.Items, w.Tokens, p.now.Sub(r.arrived), p.waitReason(r),
		})
	}
	for _, s := range p.serverList {
		st.Servers = append(st.Servers, ServerState{
			s.Name, s.Version, s.limit, s.capacity.Own(), s.capacity.Others(), s.room, s.capacity.Slowness(), s.state(),
		})
	}
	for _, rt := range p.routes {
		if sp := rt.split; sp != nil {
			st.Splits = append(st.Splits, SplitState{rt.Name, sp.target, sp.share, sp.grants, sp.targetGrants})
		}
	}
	for k := range p.blockedVersions {
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

// state returns the condition that limits the server, or "ready".
func (s *server) state() string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.outOfService:
		return "data centre out of service"
	case !s.usable():
		return "runs version " + s.reportedVersion
	case s.capacity.AwaitingReport():
		return "awaits a load report"
	case s.capacity.InProbation():
		return "probation"
	case s.capacity.Cold():
		return "cold"
	case s.room == 0:
		return "full"
	}
	return "ready"
}

// waitReason returns why the request is not served, as a text for operators.
func (p *Pool) waitReason(r *request) string {
	rt := p.routes[r.Route]
	if rt == nil {
		return "unknown route " + r.Route
	}
	if p.hasRoomOrProbe(rt) {
		return "is served with the next decision"
	}
	versions := p.candidateVersions(rt, r.Attempt > 0)
	states := map[string]int{}
	for _, s := range p.serverList {
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
