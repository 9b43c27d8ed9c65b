package quarantine

import (
	"slices"
	"strings"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// recordKey identifies a crash. Requests with the same parts at one incarnation of a backend server are one crash.
type recordKey struct {
	server fleet.Incarnation
	parts  string
}

// record is a crash in a Table.
type record struct {
	server   fleet.Incarnation
	parts    []string        // Sorted.
	sound    map[string]bool // Those of parts that backend servers have answered since.
	at       time.Time       // Time of the crash.
	refused  time.Time       // Time at which the crash was last a reason to refuse a request; at before the first.
	sequence int64           // Number of the latest change of the table that concerns the record.
	surplus  bool            // Its pattern has enough other records.
}

func newKey(server fleet.Incarnation, parts []string) recordKey {
	return recordKey{server: server, parts: strings.Join(parts, ",")}
}

// suspects returns the parts that may have caused the crash.
func (r *record) suspects() []string {
	return slices.DeleteFunc(slices.Clone(r.parts), func(part string) bool { return r.sound[part] })
}

// has reports whether a part may have caused the crash.
func (r *record) has(part string) bool {
	_, found := slices.BinarySearch(r.parts, part)
	return found && !r.sound[part]
}

// hasAll reports whether each of the parts may have caused the crash.
func (r *record) hasAll(parts []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return !r.has(part) })
}

// crash returns the record as it is exchanged between instances.
func (r *record) crash(now time.Time) fleet.Crash {
	c := fleet.Crash{
		Server: r.server, Parts: r.parts, AgeMS: now.Sub(r.at).Milliseconds(), RefusedMS: now.Sub(r.refused).Milliseconds(),
	}
	for _, part := range r.parts {
		if r.sound[part] {
			c.Sound = append(c.Sound, part)
		}
	}
	return c
}
