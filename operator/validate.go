package operator

import (
	"fmt"
	"net"
	"slices"
)

// validation collects the faults of a document and the names that references may use.
type validation struct {
	faults  FieldErrors
	tiers   map[string]bool
	centres map[string]bool
	pools   map[string]Pool
}

// Validate returns nil or FieldErrors that name each faulty field by its path.
func (d Document) Validate() error {
	v := &validation{tiers: map[string]bool{}, centres: map[string]bool{}, pools: map[string]Pool{}}
	if d.Format != Format {
		v.add("format", "must be %q", Format)
	}
	v.checkTiers(d.Tiers)
	v.checkTeams(d.Teams)
	v.checkDataCentres(d.DataCentres)
	v.checkPools(d.Pools)
	v.checkServers(d.BackendServers)
	v.checkRoutes(d.Routes, d.BackendServers)
	if len(v.faults) == 0 {
		return nil
	}
	return v.faults
}

func (v *validation) add(path, format string, args ...any) {
	v.faults = append(v.faults, FieldError{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// names checks that every name is present and unique.
func (v *validation) names(path string, names []string) {
	seen := map[string]bool{}
	for i, name := range names {
		at := fmt.Sprintf("%s[%d].name", path, i)
		if name == "" {
			v.add(at, "must not be empty")
		}
		if seen[name] {
			v.add(at, "%q stands twice", name)
		}
		seen[name] = true
	}
}

func (v *validation) checkTiers(tiers []Tier) {
	v.names("tiers", keys(tiers, Tier.key))
	if len(tiers) == 0 {
		v.add("tiers", "must name at least one tier")
	}
	ranks := map[int]bool{}
	for i, t := range tiers {
		if t.Rank < 0 || ranks[t.Rank] {
			v.add(fmt.Sprintf("tiers[%d].rank", i), "must be 0 or more and unique")
		}
		ranks[t.Rank] = true
		v.tiers[t.Name] = true
	}
}

func (v *validation) checkTeams(teams []Team) {
	v.names("teams", keys(teams, Team.key))
	owner := map[string]string{}
	for i, t := range teams {
		at := fmt.Sprintf("teams[%d]", i)
		if !(t.Weight > 0) || t.Weight > 1e6 {
			v.add(at+".weight", "must be above 0 and at most 1000000")
		}
		if len(t.Tiers) == 0 {
			v.add(at+".tiers", "must name at least one tier")
		}
		for j, name := range t.Tiers {
			if !v.tiers[name] {
				v.add(fmt.Sprintf("%s.tiers[%d]", at, j), "no tier %q", name)
			}
		}
		for j, hash := range t.KeyHashes {
			v.checkKeyHash(fmt.Sprintf("%s.key-hashes[%d]", at, j), hash, t.Name, owner)
		}
	}
}

func (v *validation) checkKeyHash(path, hash, team string, owner map[string]string) {
	if len(hash) != 64 {
		v.add(path, "must be a SHA-256 in 64 hexadecimal digits")
	}
	if other, ok := owner[hash]; ok {
		v.add(path, "team %q has the same key", other)
	}
	owner[hash] = team
}

func (v *validation) checkDataCentres(dcs []DataCentre) {
	v.names("data-centres", keys(dcs, DataCentre.key))
	for i, dc := range dcs {
		if dc.Region == "" {
			v.add(fmt.Sprintf("data-centres[%d].region", i), "must not be empty")
		}
		v.centres[dc.Name] = true
	}
}

func (v *validation) checkPools(pools []Pool) {
	v.names("pools", keys(pools, Pool.key))
	for i, p := range pools {
		at := fmt.Sprintf("pools[%d]", i)
		if p.Kind != Engines && p.Kind != Services {
			v.add(at+".kind", "must be %q or %q", Engines, Services)
		}
		if p.MaxWaiting < 1 {
			v.add(at+".max-waiting", "must be at least 1")
		}
		v.pools[p.Name] = p
	}
}

func (v *validation) checkServers(servers []BackendServer) {
	v.names("backend-servers", keys(servers, BackendServer.key))
	for i, b := range servers {
		at := fmt.Sprintf("backend-servers[%d]", i)
		if _, ok := v.pools[b.Pool]; !ok {
			v.add(at+".pool", "no pool %q", b.Pool)
		}
		if !v.centres[b.DataCentre] {
			v.add(at+".data-centre", "no data centre %q", b.DataCentre)
		}
		if host, _, err := net.SplitHostPort(b.Address); err != nil || net.ParseIP(host) == nil {
			v.add(at+".address", "must be IP:port")
		}
		if b.Limit < 1 {
			v.add(at+".limit", "must be at least 1")
		}
		if b.ColdLimit < 1 || b.ColdLimit > b.Limit {
			v.add(at+".cold-limit", "must be 1 to limit")
		}
	}
}

func (v *validation) checkRoutes(routes []Route, servers []BackendServer) {
	v.names("routes", keys(routes, Route.key))
	for i, r := range routes {
		at := fmt.Sprintf("routes[%d]", i)
		if _, ok := v.pools[r.Pool]; !ok {
			v.add(at+".pool", "no pool %q", r.Pool)
		}
		if !offers(servers, r.Pool, r.Version) {
			v.add(at+".version", "no backend server of pool %q runs %q", r.Pool, r.Version)
		}
		if r.Timeout < 0 {
			v.add(at+".timeout-seconds", "must not be negative")
		}
		if r.Rollout != nil {
			v.checkRollout(at+".rollout", r, servers)
		}
	}
}

func (v *validation) checkRollout(at string, r Route, servers []BackendServer) {
	o := r.Rollout
	if o.ID == "" {
		v.add(at+".id", "must not be empty")
	}
	if o.To == r.Version {
		v.add(at+".to", "must differ from the route's version %q", r.Version)
	}
	if !offers(servers, r.Pool, o.To) {
		v.add(at+".to", "no backend server of pool %q runs %q", r.Pool, o.To)
	}
	if !(o.CanaryShare > 0) || o.CanaryShare > 0.5 {
		v.add(at+".canary-share", "must be above 0 and at most 0.5")
	}
	if !o.Deadline.After(o.Start) {
		v.add(at+".deadline", "must be after start")
	}
}

// offers reports whether a backend server of the pool runs the version.
func offers(servers []BackendServer, pool, version string) bool {
	return slices.ContainsFunc(servers, func(b BackendServer) bool {
		return b.Pool == pool && b.Version == version
	})
}

func keys[T any](list []T, key func(T) string) []string {
	names := make([]string, len(list))
	for i, v := range list {
		names[i] = key(v)
	}
	return names
}
