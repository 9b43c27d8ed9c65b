package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// markSurplus marks the latest records of each pattern beyond maxSupport; mu must be held.
func (t *Table) markSurplus() {
	for _, r := range t.records {
		r.surplus = false
	}
	for _, p := range t.patterns {
		var support []*record
		for _, r := range t.records {
			if r.hasAll(p.Parts) {
				support = append(support, r)
			}
		}
		slices.SortFunc(support, func(a, b *record) int { return a.at.Compare(b.at) })
		for i, r := range support {
			r.surplus = i >= maxSupport
		}
	}
}

// evict removes the least useful records beyond maxRecords and, of a backend server, beyond maxServerRecords; mu must be held.
func (t *Table) evict() {
	byServer := map[fleet.Incarnation]int{}
	most := 0
	for key := range t.records {
		byServer[key.server]++
		most = max(most, byServer[key.server])
	}
	if len(t.records) <= maxRecords && most <= maxServerRecords {
		return
	}
	usefulness := func(r *record) int {
		suspects := r.suspects()
		switch {
		case len(suspects) == 0 || r.surplus:
			return 0
		case !slices.ContainsFunc(suspects, func(part string) bool { return t.suspects[part] }):
			return 1
		}
		return 2
	}
	type candidate struct {
		key        recordKey
		usefulness int
		at         time.Time
	}
	var all []candidate
	for key, r := range t.records {
		all = append(all, candidate{key, usefulness(r), r.at})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.usefulness, b.usefulness), a.at.Compare(b.at))
	})
	excess := 0
	if len(all) > maxRecords {
		excess = len(all) - recordsAfterEviction
	}
	for n, c := range all {
		if n < excess || byServer[c.key.server] > maxServerRecords {
			byServer[c.key.server]--
			delete(t.records, c.key)
		}
	}
}

// prune drops the older half of the times beyond limit.
func prune(answered map[string]time.Time, limit int) {
	if len(answered) <= limit {
		return
	}
	times := make([]time.Time, 0, len(answered))
	for _, at := range answered {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	oldest := times[len(times)/2]
	for part, at := range answered {
		if !at.After(oldest) {
			delete(answered, part)
		}
	}
}

// normalize returns the parts of a prompt in order, each once, without those beyond the bounds.
func normalize(parts []string) []string {
	parts = slices.DeleteFunc(slices.Clone(parts[:min(len(parts), maxParts)]), func(part string) bool {
		return part == "" || len(part) > maxPartBytes
	})
	slices.Sort(parts)
	return slices.Compact(parts)
}
