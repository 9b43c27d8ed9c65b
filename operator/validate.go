package operator

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// maxWeight bounds a team's weight, so that sums of weights stay exact enough for shares.
const maxWeight = 1e6

// segment is the form of names that become a path segment of a URL or of a store key; "." and ".." are excluded
// because clients and proxies resolve them.
var segment = regexp.MustCompile(`^[A-Za-z0-9_~-][A-Za-z0-9._~-]{0,62}$`)

const segmentRule = "must be 1 to 63 letters, digits or any of . _ ~ - and not begin with a dot"

// keyHash is the form in which KeyHash prints; other spellings would never match a key.
var keyHash = regexp.MustCompile(`^[0-9a-f]{64}$`)

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

// names checks that every name can be a path segment and is unique.
func (v *validation) names(path string, names []string) {
	for i, name := range names {
		if !segment.MatchString(name) {
			v.add(fmt.Sprintf("%s[%d].name", path, i), segmentRule)
		}
	}
	v.unique(path, names)
}

func (v *validation) unique(path string, names []string) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		if name != "" && seen[name] {
			v.add(fmt.Sprintf("%s[%d].name", path, i), "%q is used twice", name)
		}
		seen[name] = true
	}
}

func (v *validation) checkTiers(tiers []Tier) {
	v.names("tiers", keys(tiers))
	if len(tiers) == 0 {
		v.add("tiers", "must name at least one tier")
	}
	taken := map[int]bool{}
	for i, t := range tiers {
		if t.Rank < 0 || t.Rank >= len(tiers) || taken[t.Rank] {
			v.add(fmt.Sprintf("tiers[%d].rank", i), "ranks must be 0 to %d, each once", len(tiers)-1)
		}
		taken[t.Rank] = true
		v.tiers[t.Name] = true
	}
}

func (v *validation) checkTeams(teams []Team) {
	v.names("teams", keys(teams))
	owner := map[string]string{}
	for i, t := range teams {
		at := fmt.Sprintf("teams[%d]", i)
		if !(t.Weight > 0) || t.Weight > maxWeight { // The negation also catches NaN.
			v.add(at+".weight", "must be above 0 and at most %g", maxWeight)
		}
		v.checkTeamTiers(at, t.Tiers)
		for j, hash := range t.KeyHashes {
			v.checkKeyHash(fmt.Sprintf("%s.key-hashes[%d]", at, j), hash, t.Name, owner)
		}
	}
}

func (v *validation) checkTeamTiers(at string, tiers []string) {
	if len(tiers) == 0 {
		v.add(at+".tiers", "must name at least one tier")
	}
	for j, name := range tiers {
		if !v.tiers[name] {
			v.add(fmt.Sprintf("%s.tiers[%d]", at, j), "no tier %q", name)
		}
		if slices.Contains(tiers[:j], name) {
			v.add(fmt.Sprintf("%s.tiers[%d]", at, j), "%q is listed twice", name)
		}
	}
}

func (v *validation) checkKeyHash(path, hash, team string, owner map[string]string) {
	if !keyHash.MatchString(hash) {
		v.add(path, "must be a SHA-256 in 64 lower-case hexadecimal digits")
	}
	if other, ok := owner[hash]; ok {
		v.add(path, "team %q has the same key", other)
	}
	owner[hash] = team
}

func (v *validation) checkDataCentres(dcs []DataCentre) {
	v.names("data-centres", keys(dcs))
	for i, dc := range dcs {
		if !segment.MatchString(dc.Region) {
			v.add(fmt.Sprintf("data-centres[%d].region", i), segmentRule)
		}
		v.centres[dc.Name] = true
	}
}

func (v *validation) checkPools(pools []Pool) {
	v.names("pools", keys(pools))
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

// oneLine reports whether s is a short text without spaces and control characters.
func oneLine(s string) bool {
	return s != "" && len(s) <= 200 && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f })
}
