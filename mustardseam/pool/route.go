package pool

import "github.com/mustardseam/mustardseam/operator"

// route is a configured route with the state of its traffic split.
type route struct {
	operator.Route
	split       *split // Traffic split between two versions; nil if there is none.
	noRoomRound uint64 // Number of the last Decide call in which a request of the route found no server with room.
}

// blockKey identifies a version that is blocked on a route, or on all routes if route is empty.
type blockKey struct {
	version string
	route   string
}

// SetSplit limits the named version `to` to the given share of the route's grants, from 0 to 1. The grants are counted
// from the last change of the share. Independently of the share, the version may get one request at once, so that its
// health can be observed. A share of 1 sends all requests to it.
func (p *Pool) SetSplit(name, to string, share float64) {
	rt := p.routes[name]
	if rt == nil {
		return
	}
	rt.split = rt.split.retarget(to, share)
}

// ClearSplit sends all further requests of the route to its configured version.
func (p *Pool) ClearSplit(name string) {
	if rt := p.routes[name]; rt != nil {
		rt.split = nil
	}
}

// BlockVersion stops all grants of the route's requests to a version that was rolled back. An empty route name stands
// for all routes.
func (p *Pool) BlockVersion(version, name string) {
	p.blockedVersions[blockKey{version, name}] = true
	p.refuseUnservable()
}

// UnblockVersion reverts a BlockVersion with the same arguments.
func (p *Pool) UnblockVersion(version, name string) {
	delete(p.blockedVersions, blockKey{version, name})
}

// versionBlocked reports whether the version must not serve requests of the route.
func (p *Pool) versionBlocked(rt *route, version string) bool {
	if len(p.blockedVersions) == 0 {
		return false
	}
	return p.blockedVersions[blockKey{version, rt.Name}] || p.blockedVersions[blockKey{version, ""}]
}

// candidateVersions returns the versions that may serve the next request of the route, in order of preference; empty
// strings are to be skipped. Retries are not sent to a version whose rollout is still being evaluated. A blocked target
// version disables the split.
func (p *Pool) candidateVersions(rt *route, retried bool) [2]string {
	current, next := rt.Version, ""
	if sp := rt.split; sp != nil && !p.versionBlocked(rt, sp.target) {
		if sp.share >= 1 {
			current, next = "", sp.target
		} else if !retried && sp.allowsNext() {
			next = sp.target
		}
	}
	if p.versionBlocked(rt, current) {
		current = ""
	}
	return [2]string{next, current}
}

// hasServerInService reports whether a version that the route may use has a server in service, with or without room.
// Requests of a route without one are refused. See hasRoomOrProbe for room, and server.usable for the version that a
// server reports.
func (p *Pool) hasServerInService(rt *route) bool {
	list := [2]string{rt.Version}
	if rt.split != nil {
		list[1] = rt.split.target
	}
	for _, v := range list {
		if f := p.versionGroups[v]; f != nil && f.inService > 0 && !p.versionBlocked(rt, v) {
			return true
		}
	}
	return false
}

// hasRoomOrProbe reports whether a version that the route may use now has a server with room or a due probe.
func (p *Pool) hasRoomOrProbe(rt *route) bool {
	for _, v := range p.candidateVersions(rt, false) {
		if v == "" {
			continue
		}
		if p.picker.AvailableServers(v) > 0 {
			return true
		}
		if f := p.versionGroups[v]; f != nil && f.probeDue(p.now) {
			return true
		}
	}
	return false
}

// shouldSkipLane reports whether the queue must skip the requests of the route in the current Decide call.
func (p *Pool) shouldSkipLane(lane string) bool {
	rt := p.routes[lane]
	return rt == nil || rt.noRoomRound == p.decideRound || !p.hasRoomOrProbe(rt)
}
