package pool

import "github.com/mustardseam/mustardseam/operator"

// route is a route with the counts that hold its split.
type route struct {
	operator.Route
	split  *split
	failed uint64 // Number of the Decide in which a request of the route found no server.
}

// blockKey names a version that must not get requests of a route; an empty route stands for all.
type blockKey struct {
	version string
	route   string
}

// SetSplit lets the version `to` get at most the given share (0 to 1) of the route's grants, counted exactly from the
// time that the share changed; one request may go there at once so that evidence begins. A share of 1 sends all.
func (p *Pool) SetSplit(name, to string, share float64) {
	rt := p.routes[name]
	if rt == nil {
		return
	}
	rt.split = rt.split.with(to, share)
}

// ClearSplit sends all further requests of the route to its settled version.
func (p *Pool) ClearSplit(name string) {
	if rt := p.routes[name]; rt != nil {
		rt.split = nil
	}
}

// BlockVersion ends all grants of a route's requests to a version that was rolled back; an empty route name stands
// for all routes.
func (p *Pool) BlockVersion(version, name string) {
	p.blocked[blockKey{version, name}] = true
	p.refuseUnservable()
}

// UnblockVersion allows grants to a version again that BlockVersion excluded with the same arguments.
func (p *Pool) UnblockVersion(version, name string) { delete(p.blocked, blockKey{version, name}) }

// excluded reports whether the version must not get requests of the route.
func (p *Pool) excluded(rt *route, version string) bool {
	if len(p.blocked) == 0 {
		return false
	}
	return p.blocked[blockKey{version, rt.Name}] || p.blocked[blockKey{version, ""}]
}

// versions returns the versions that may serve the next request of the route, the preferred one first; empty names
// stand for none. Retries stay away from a version that is still being judged, and a version that was rolled back ends
// the split.
func (p *Pool) versions(rt *route, retried bool) [2]string {
	settled, next := rt.Version, ""
	if sp := rt.split; sp != nil && !p.excluded(rt, sp.to) {
		if sp.share >= 1 {
			settled, next = "", sp.to
		} else if !retried && sp.allows() {
			next = sp.to
		}
	}
	if p.excluded(rt, settled) {
		settled = ""
	}
	return [2]string{next, settled}
}

// servable reports whether a version of the route has a server in service.
func (p *Pool) servable(rt *route) bool {
	list := [2]string{rt.Version}
	if rt.split != nil {
		list[1] = rt.split.to
	}
	for _, v := range list {
		if f := p.fleets[v]; f != nil && f.inService > 0 && !p.excluded(rt, v) {
			return true
		}
	}
	return false
}

// open reports whether a version of the route has room, or a probe is due.
func (p *Pool) open(rt *route) bool {
	for _, v := range p.versions(rt, false) {
		if v == "" {
			continue
		}
		if p.picker.Room(v) > 0 {
			return true
		}
		if f := p.fleets[v]; f != nil && f.due(p.now) {
			return true
		}
	}
	return false
}

// closedLane reports whether the queue must pass over the requests of a route in the current Decide.
func (p *Pool) closedLane(lane string) bool {
	rt := p.routes[lane]
	return rt == nil || rt.failed == p.round || !p.open(rt)
}
