package autoscale

import (
	"maps"
	"slices"
)

// spread returns the numbers of the data centres after a change of their sum. Backend servers are added where there are
// fewest and removed where there are most, so that the loss of a data centre costs as little as possible. If the limits do
// not allow the sum, it comes as close to it as they allow.
func spread(cfg Config, inForce map[string]int, total int) map[string]int {
	next := maps.Clone(inForce)
	names := slices.Sorted(maps.Keys(next))
	for n := sum(next); n < total; n++ {
		best := ""
		for _, name := range names {
			if next[name] < cfg.Max && (best == "" || next[name] < next[best]) {
				best = name
			}
		}
		if best == "" {
			break
		}
		next[best]++
	}
	for n := sum(next); n > total; n-- {
		best := ""
		for _, name := range names {
			if next[name] > cfg.Min && (best == "" || next[name] > next[best]) {
				best = name
			}
		}
		if best == "" {
			break
		}
		next[best]--
	}
	for name, n := range next {
		if n != inForce[name] {
			next[name] = cfg.clamp(n)
		}
	}
	return next
}
