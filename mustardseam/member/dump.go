package member

import (
	"slices"
	"time"
)

// Dump is the state of a table for inspection.
type Dump struct {
	Self    Member     `json:"self"`
	Members []DumpLine `json:"members"`
	Listed  []Entry    `json:"listed"`
}

// DumpLine is the state of one incarnation.
type DumpLine struct {
	Member
	State    State `json:"state"`
	SilentMS int64 `json:"silent-ms"` // Since its last progress.
	Listed   bool  `json:"listed"`    // As IsListed reports.
}

// Dump returns the table's state for inspection, in the order of incarnations and ids.
func (t *Table) Dump(now time.Time) Dump {
	now = t.at(now)
	d := Dump{Self: t.self, Members: []DumpLine{}, Listed: []Entry{}}
	for _, m := range t.filter(func(p *peer) bool { return !p.gone }) {
		p := t.peers[m.Incarnation]
		line := DumpLine{Member: m, State: p.state(now, t.cfg), Listed: t.IsListed(now, m.Incarnation)}
		line.SilentMS = now.Sub(p.progress).Milliseconds()
		d.Members = append(d.Members, line)
	}
	for _, e := range t.list {
		d.Listed = append(d.Listed, e)
	}
	slices.SortFunc(d.Listed, func(a, b Entry) int { return byID(Member{ID: a.ID}, Member{ID: b.ID}) })
	return d
}
