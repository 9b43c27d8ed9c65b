package member

import (
	"slices"
	"time"
)

// Dump is the state of a table for inspection.
type Dump struct {
	Self    Member             `json:"self"`
	Members []IncarnationState `json:"members"`
	Listed  []ListEntry        `json:"listed"` // The platform's list, sorted by id.
}

// IncarnationState is the state of one incarnation, as shown in a Dump.
type IncarnationState struct {
	Member
	State    State `json:"state"`
	SilentMS int64 `json:"silent-ms"` // Milliseconds since its last progress.
	Listed   bool  `json:"listed"`    // Result of MayExist.
}

// Dump returns the table's state for inspection, sorted by incarnation and by id.
func (t *Table) Dump(now time.Time) Dump {
	now = t.advanceTo(now)
	d := Dump{Self: t.self, Members: []IncarnationState{}, Listed: []ListEntry{}}
	for _, m := range t.filter(func(p *peer) bool { return !p.removed }) {
		p := t.peers[m.Incarnation]
		line := IncarnationState{Member: m, State: p.state(now, t.cfg), Listed: t.MayExist(now, m.Incarnation)}
		line.SilentMS = now.Sub(p.lastProgress).Milliseconds()
		d.Members = append(d.Members, line)
	}
	for _, e := range t.platformList {
		d.Listed = append(d.Listed, e)
	}
	slices.SortFunc(d.Listed, func(a, b ListEntry) int { return compareByID(Member{ID: a.ID}, Member{ID: b.ID}) })
	return d
}
