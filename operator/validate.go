package operator

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// maxWeight is the largest weight of a team; larger weights would make sums of weights too inexact to compute shares.
const maxWeight = 1e6

// segmentPattern matches names that are used as a path segment of a URL or of a store key; "." and ".." are excluded
// because clients and proxies resolve them.
var segmentPattern = regexp.MustCompile(`^[A-Za-z0-9_~-][A-Za-z0-9._~-]{0,62}$`)

const segmentRule = "must be 1 to 63 letters, digits or any of . _ ~ - and not begin with a dot"

// keyHashPattern matches the output of KeyHash; a hash in another format would never match a key.
var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// validator collects the invalid fields of a document and the names that references can use.
type validator struct {
	fieldErrors FieldErrors
	tiers       map[string]bool
	dataCentres map[string]bool
	pools       map[string]Pool
}

// Validate returns nil, or FieldErrors with the path of each invalid field.
func (d Document) Validate() error {
	v := &validator{tiers: map[string]bool{}, dataCentres: map[string]bool{}, pools: map[string]Pool{}}
	if d.Format != Format {
		v.addFault("format", "must be %q", Format)
	}
	v.checkTiers(d.Tiers)
	v.checkTeams(d.Teams)
	v.checkDataCentres(d.DataCentres)
	v.checkPools(d.Pools)
	v.checkBackendServers(d.BackendServers)
	v.checkRoutes(d.Routes, d.BackendServers)
	if len(v.fieldErrors) == 0 {
		return nil
	}
	return v.fieldErrors
}

func (v *validator) addFault(path, format string, args ...any) {
	v.fieldErrors = append(v.fieldErrors, FieldError{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// checkNames checks that every name can be a path segment and is unique.
func (v *validator) checkNames(path string, names []string) {
	for i, name := range names {
		if !segmentPattern.MatchString(name) {
			v.addFault(fmt.Sprintf("%s[%d].name", path, i), segmentRule)
		}
	}
	v.checkUnique(path, names)
}

func (v *validator) checkUnique(path string, names []string) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		if name != "" && seen[name] {
			v.addFault(fmt.Sprintf("%s[%d].name", path, i), "%q is used twice", name)
		}
		seen[name] = true
	}
}

func (v *validator) checkTiers(tiers []Tier) {
	v.checkNames("tiers", entryKeys(tiers))
	if len(tiers) == 0 {
		v.addFault("tiers", "must name at least one tier")
	}
	usedRanks := map[int]bool{}
	for i, t := range tiers {
		if t.Rank < 0 || t.Rank >= len(tiers) || usedRanks[t.Rank] {
			v.addFault(fmt.Sprintf("tiers[%d].rank", i), "ranks must be 0 to %d, each once", len(tiers)-1)
		}
		usedRanks[t.Rank] = true
		v.tiers[t.Name] = true
	}
}

func (v *validator) checkTeams(teams []Team) {
	v.checkNames("teams", entryKeys(teams))
	teamByHash := map[string]string{}
	for i, t := range teams {
		at := fmt.Sprintf("teams[%d]", i)
		if !(t.Weight > 0) || t.Weight > maxWeight { // The negation also rejects NaN.
			v.addFault(at+".weight", "must be above 0 and at most %g", maxWeight)
		}
		v.checkTeamTiers(at, t.Tiers)
		for j, hash := range t.KeyHashes {
			v.checkKeyHash(fmt.Sprintf("%s.key-hashes[%d]", at, j), hash, t.Name, teamByHash)
		}
	}
}

func (v *validator) checkTeamTiers(at string, tiers []string) {
	if len(tiers) == 0 {
		v.addFault(at+".tiers", "must name at least one tier")
	}
	for j, name := range tiers {
		if !v.tiers[name] {
			v.addFault(fmt.Sprintf("%s.tiers[%d]", at, j), "no tier %q", name)
		}
		if slices.Contains(tiers[:j], name) {
			v.addFault(fmt.Sprintf("%s.tiers[%d]", at, j), "%q is listed twice", name)
		}
	}
}

func (v *validator) checkKeyHash(path, hash, team string, teamByHash map[string]string) {
	if !keyHashPattern.MatchString(hash) {
		v.addFault(path, "must be a SHA-256 in 64 lower-case hexadecimal digits")
	}
	if other, ok := teamByHash[hash]; ok {
		v.addFault(path, "team %q has the same key", other)
	}
	teamByHash[hash] = team
}

func (v *validator) checkDataCentres(dcs []DataCentre) {
	v.checkNames("data-centres", entryKeys(dcs))
	for i, dc := range dcs {
		if !segmentPattern.MatchString(dc.Region) {
			v.addFault(fmt.Sprintf("data-centres[%d].region", i), segmentRule)
		}
		v.dataCentres[dc.Name] = true
	}
}

func (v *validator) checkPools(pools []Pool) {
	v.checkNames("pools", entryKeys(pools))
	for i, p := range pools {
		at := fmt.Sprintf("pools[%d]", i)
		if p.Kind != Engines && p.Kind != Services {
			v.addFault(at+".kind", "must be %q or %q", Engines, Services)
		}
		if p.MaxWaiting < 1 {
			v.addFault(at+".max-waiting", "must be at least 1")
		}
		v.pools[p.Name] = p
	}
}

// isToken reports whether s has 1 to 200 bytes and no spaces or control characters.
func isToken(s string) bool {
	return s != "" && len(s) <= 200 && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f })
}
