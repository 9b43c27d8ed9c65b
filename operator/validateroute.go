package operator

import (
	"fmt"
	"net/netip"
	"slices"
)

// maxTimeoutSeconds is the longest timeout of a route, in seconds: one day.
const maxTimeoutSeconds = 86400

func (v *validator) checkBackendServers(servers []BackendServer) {
	v.checkNames("backend-servers", entryKeys(servers))
	serverByAddress := map[netip.AddrPort]string{}
	for i, b := range servers {
		at := fmt.Sprintf("backend-servers[%d]", i)
		if _, ok := v.pools[b.Pool]; !ok {
			v.addFault(at+".pool", "no pool %q", b.Pool)
		}
		if !v.dataCentres[b.DataCentre] {
			v.addFault(at+".data-centre", "no data centre %q", b.DataCentre)
		}
		if !isToken(b.Version) {
			v.addFault(at+".version", "must be 1 to 200 characters without spaces")
		}
		v.checkAddress(at+".address", b, serverByAddress)
		if b.Limit < 1 {
			v.addFault(at+".limit", "must be at least 1")
		}
		if b.ColdLimit < 1 || b.ColdLimit > b.Limit {
			v.addFault(at+".cold-limit", "must be 1 to limit")
		}
	}
}

// checkAddress rejects an address that two servers share: each would get its own limit, and the sum would overload the
// process at that address.
func (v *validator) checkAddress(path string, b BackendServer, owner map[netip.AddrPort]string) {
	a, err := netip.ParseAddrPort(b.Address)
	if err != nil || a.Port() == 0 {
		v.addFault(path, "must be IP:port")
		return
	}
	a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	if other, ok := owner[a]; ok {
		v.addFault(path, "backend server %q has the same address", other)
	}
	owner[a] = b.Name
}

func (v *validator) checkRoutes(routes []Route, servers []BackendServer) {
	v.checkUnique("routes", entryKeys(routes))
	rollouts := map[string]string{}
	for i, r := range routes {
		at := fmt.Sprintf("routes[%d]", i)
		v.checkRouteName(at+".name", r)
		if _, ok := v.pools[r.Pool]; !ok {
			v.addFault(at+".pool", "no pool %q", r.Pool)
		}
		if !runsVersion(servers, r.Pool, r.Version) {
			v.addFault(at+".version", "no backend server of pool %q runs %q", r.Pool, r.Version)
		}
		if !(r.Timeout >= 0) || r.Timeout > maxTimeoutSeconds {
			v.addFault(at+".timeout-seconds", "must be 0 to %d", maxTimeoutSeconds)
		}
		if r.Rollout != nil {
			v.checkRollout(at+".rollout", r, servers, rollouts)
		}
	}
}

// checkRouteName allows slashes and colons in model names, which are sent in the request body, but not in service
// names, which are path segments of the URL.
func (v *validator) checkRouteName(path string, r Route) {
	if v.pools[r.Pool].Kind == Services && !segmentPattern.MatchString(r.Name) {
		v.addFault(path, "the name of a service is a path segment: %s", segmentRule)
	} else if !isToken(r.Name) {
		v.addFault(path, "must be 1 to 200 characters without spaces")
	}
}

func (v *validator) checkRollout(at string, r Route, servers []BackendServer, routeByRolloutID map[string]string) {
	rollout := r.Rollout
	if !segmentPattern.MatchString(rollout.ID) {
		v.addFault(at+".id", segmentRule)
	}
	if other, ok := routeByRolloutID[rollout.ID]; ok {
		v.addFault(at+".id", "route %q has a rollout of the same id", other)
	}
	routeByRolloutID[rollout.ID] = r.Name
	if rollout.To == r.Version {
		v.addFault(at+".to", "must differ from the route's version %q", r.Version)
	}
	if !runsVersion(servers, r.Pool, rollout.To) {
		v.addFault(at+".to", "no backend server of pool %q runs %q", r.Pool, rollout.To)
	}
	if !(rollout.CanaryShare > 0) || rollout.CanaryShare > 0.5 {
		v.addFault(at+".canary-share", "must be above 0 and at most 0.5")
	}
	if rollout.Start.IsZero() {
		v.addFault(at+".start", "must be set")
	}
	if !rollout.Deadline.After(rollout.Start) {
		v.addFault(at+".deadline", "must be after start")
	}
	if rollout.Supersedes != "" && rollout.Supersedes == rollout.ID {
		v.addFault(at+".supersedes", "must name another rollout; a rolled-back id stays rolled back")
	}
}

// runsVersion reports whether a backend server of the pool runs the version.
func runsVersion(servers []BackendServer, pool, version string) bool {
	return slices.ContainsFunc(servers, func(b BackendServer) bool {
		return b.Pool == pool && b.Version == version
	})
}
