package operator

import (
	"fmt"
	"net/netip"
	"slices"
)

// maxTimeout bounds a route's timeout: one day in seconds.
const maxTimeout = 86400

func (v *validation) checkServers(servers []BackendServer) {
	v.names("backend-servers", keys(servers))
	owner := map[netip.AddrPort]string{}
	for i, b := range servers {
		at := fmt.Sprintf("backend-servers[%d]", i)
		if _, ok := v.pools[b.Pool]; !ok {
			v.add(at+".pool", "no pool %q", b.Pool)
		}
		if !v.centres[b.DataCentre] {
			v.add(at+".data-centre", "no data centre %q", b.DataCentre)
		}
		if !oneLine(b.Version) {
			v.add(at+".version", "must be 1 to 200 characters without spaces")
		}
		v.checkAddress(at+".address", b, owner)
		if b.Limit < 1 {
			v.add(at+".limit", "must be at least 1")
		}
		if b.ColdLimit < 1 || b.ColdLimit > b.Limit {
			v.add(at+".cold-limit", "must be 1 to limit")
		}
	}
}

// checkAddress refuses an address that two servers share: each would be granted its own limit, and together they would
// exceed what the process behind the address can bear.
func (v *validation) checkAddress(path string, b BackendServer, owner map[netip.AddrPort]string) {
	a, err := netip.ParseAddrPort(b.Address)
	if err != nil || a.Port() == 0 {
		v.add(path, "must be IP:port")
		return
	}
	a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	if other, ok := owner[a]; ok {
		v.add(path, "backend server %q has the same address", other)
	}
	owner[a] = b.Name
}

func (v *validation) checkRoutes(routes []Route, servers []BackendServer) {
	v.unique("routes", keys(routes))
	rollouts := map[string]string{}
	for i, r := range routes {
		at := fmt.Sprintf("routes[%d]", i)
		v.checkRouteName(at+".name", r)
		if _, ok := v.pools[r.Pool]; !ok {
			v.add(at+".pool", "no pool %q", r.Pool)
		}
		if !offers(servers, r.Pool, r.Version) {
			v.add(at+".version", "no backend server of pool %q runs %q", r.Pool, r.Version)
		}
		if !(r.Timeout >= 0) || r.Timeout > maxTimeout {
			v.add(at+".timeout-seconds", "must be 0 to %d", maxTimeout)
		}
		if r.Rollout != nil {
			v.checkRollout(at+".rollout", r, servers, rollouts)
		}
	}
}

// checkRouteName allows slashes and colons in model names, which stand in the body of a request, but not in the names
// of services, which stand in the path.
func (v *validation) checkRouteName(path string, r Route) {
	if v.pools[r.Pool].Kind == Services && !segment.MatchString(r.Name) {
		v.add(path, "the name of a service is a path segment: %s", segmentRule)
	} else if !oneLine(r.Name) {
		v.add(path, "must be 1 to 200 characters without spaces")
	}
}

func (v *validation) checkRollout(at string, r Route, servers []BackendServer, rollouts map[string]string) {
	o := r.Rollout
	if !segment.MatchString(o.ID) {
		v.add(at+".id", segmentRule)
	}
	if other, ok := rollouts[o.ID]; ok {
		v.add(at+".id", "route %q has a rollout of the same id", other)
	}
	rollouts[o.ID] = r.Name
	if o.To == r.Version {
		v.add(at+".to", "must differ from the route's version %q", r.Version)
	}
	if !offers(servers, r.Pool, o.To) {
		v.add(at+".to", "no backend server of pool %q runs %q", r.Pool, o.To)
	}
	if !(o.CanaryShare > 0) || o.CanaryShare > 0.5 {
		v.add(at+".canary-share", "must be above 0 and at most 0.5")
	}
	if o.Start.IsZero() {
		v.add(at+".start", "must be set")
	}
	if !o.Deadline.After(o.Start) {
		v.add(at+".deadline", "must be after start")
	}
	if o.Supersedes != "" && o.Supersedes == o.ID {
		v.add(at+".supersedes", "must name another rollout; a rolled-back id stays rolled back")
	}
}

// offers reports whether a backend server of the pool runs the version.
func offers(servers []BackendServer, pool, version string) bool {
	return slices.ContainsFunc(servers, func(b BackendServer) bool {
		return b.Pool == pool && b.Version == version
	})
}
