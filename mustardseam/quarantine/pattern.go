package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// Pattern is a set of prompt parts on which backend servers have crashed. It has several parts as long as the crashes do not
// show which one of them is the cause; only requests with all of them are refused.
type Pattern struct {
	Parts   []string  `json:"parts"`   // Sorted.
	Crashes int       `json:"crashes"` // Number of incarnations of backend servers that crashed.
	From    time.Time `json:"from"`    // Time from which on requests are refused.
}

// matches reports whether a prompt with the given parts contains the pattern.
func (p Pattern) matches(parts []string) bool {
	return !slices.ContainsFunc(p.Parts, func(part string) bool { return !slices.Contains(parts, part) })
}

// evidence is the crashes that speak against a part.
type evidence struct {
	servers map[fleet.Incarnation]time.Time       // Time of the crash of each backend server.
	with    map[string]map[fleet.Incarnation]bool // Backend servers that crashed on a request with both parts, by the other part.
}

// gather returns the evidence against each part that recurs over several backend servers.
func gather(records map[recordKey]*record) map[string]*evidence {
	recurring := recurringParts(records)
	all := map[string]*evidence{}
	if len(recurring) == 0 {
		return all
	}
	for _, r := range records {
		suspects := slices.DeleteFunc(r.suspects(), func(part string) bool { return !recurring[part] })
		for _, part := range suspects {
			e := all[part]
			if e == nil {
				e = &evidence{servers: map[fleet.Incarnation]time.Time{}, with: map[string]map[fleet.Incarnation]bool{}}
				all[part] = e
			}
			if at, known := e.servers[r.server]; !known || r.at.Before(at) {
				e.servers[r.server] = r.at
			}
			for _, other := range suspects {
				if e.with[other] == nil {
					e.with[other] = map[fleet.Incarnation]bool{}
				}
				e.with[other][r.server] = true
			}
		}
	}
	return all
}

// recurringParts returns the parts that may have caused crashes of several backend servers.
func recurringParts(records map[recordKey]*record) map[string]bool {
	first := map[string]fleet.Incarnation{}
	recurring := map[string]bool{}
	for _, r := range records {
		for _, part := range r.parts {
			if r.sound[part] {
				continue
			}
			if server, known := first[part]; !known {
				first[part] = r.server
			} else if server != r.server {
				recurring[part] = true
			}
		}
	}
	return recurring
}

// findPatterns returns the patterns that explain the crashes, the one with most crashes first. A crash that a pattern explains
// does not count against other parts: their requests ran beside one that is to blame. A request that was at minRepeatedCrashes or
// more, and was never answered, is no bystander even if others explain them: several such requests may crash the same backend
// servers.
func findPatterns(all map[string]*evidence, answered func(part string) time.Time) []Pattern {
	var patterns []Pattern
	explained := map[fleet.Incarnation]bool{}
	found := map[string]bool{}
	parts := slices.Sorted(maps.Keys(all))
	for {
		best, most := "", 0
		for _, part := range parts {
			required := minCrashes
			if isFingerprint(part) && answered(part).IsZero() {
				required = minFingerprintCrashes
			}
			if n := all[part].unexplained(explained, required); n > most {
				best, most = part, n
			}
		}
		if most == 0 {
			break
		}
		e := all[best]
		found[best] = true
		patterns = append(patterns, e.pattern(answered))
		for server := range e.servers {
			explained[server] = true
		}
	}
	for _, part := range parts {
		if isFingerprint(part) && answered(part).IsZero() && !found[part] && all[part].unexplained(nil, minRepeatedCrashes) > 0 {
			patterns = append(patterns, all[part].pattern(answered))
		}
	}
	return patterns
}

// pattern returns the pattern that the evidence is for.
func (e *evidence) pattern(answered func(part string) time.Time) Pattern {
	return Pattern{Parts: e.group(), Crashes: len(e.servers), From: e.activeFrom(answered)}
}

// unexplained returns the number of crashes that no other pattern explains; 0 if they are fewer than required for a pattern.
func (e *evidence) unexplained(explained map[fleet.Incarnation]bool, required int) int {
	var times []time.Time
	for server, at := range e.servers {
		if !explained[server] {
			times = append(times, at)
		}
	}
	if len(times) < required {
		return 0
	}
	slices.SortFunc(times, time.Time.Compare)
	moments, latest := 1, times[0]
	for _, at := range times {
		if at.Sub(latest) >= momentInterval {
			moments, latest = moments+1, at
		}
	}
	if moments < minMoments {
		return 0
	}
	return len(times)
}

// group returns the parts that were in the prompt at all crashes but at most one. A single crash may have had another cause.
func (e *evidence) group() []string {
	var parts []string
	for other, servers := range e.with {
		if len(servers) >= len(e.servers)-1 {
			parts = append(parts, other)
		}
	}
	slices.Sort(parts)
	return parts
}

// activeFrom returns the time from which on requests are refused. Until then, instances that know of answers on the parts can
// tell the others, which takes longer for parts that were answered before the crashes.
func (e *evidence) activeFrom(answered func(part string) time.Time) time.Time {
	var first time.Time
	for _, at := range e.servers {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	for _, part := range e.group() {
		if answered(part).IsZero() {
			return first.Add(settleTime)
		}
	}
	return first.Add(answeredSettleTime)
}
