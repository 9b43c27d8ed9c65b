package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/rendezvous"
)

// Live returns the instances that may get new work, with this one, in the order of their incarnations: alive or
// suspected, and not leaving.
func (t *Table) Live(now time.Time) []Member {
	now = t.at(now)
	list := t.filter(func(p *peer) bool {
		s := p.state(now, t.cfg)
		return (s == Alive || s == Suspected) && !t.leaving(p.Member)
	})
	if !t.leaving(t.self) {
		list = append(list, t.self)
	}
	slices.SortFunc(list, byIncarnation)
	return list
}

// Suspect returns the instances to probe, in the order of their incarnations.
func (t *Table) Suspect(now time.Time) []Member {
	now = t.at(now)
	return t.filter(func(p *peer) bool { return p.state(now, t.cfg) == Suspected })
}

// Failed returns the instances that get no new work because they made no progress or were replaced, in the order of
// their incarnations.
func (t *Table) Failed(now time.Time) []Member {
	now = t.at(now)
	return t.filter(func(p *peer) bool { return p.state(now, t.cfg) == Failed })
}

// State returns what the table knows of an incarnation.
func (t *Table) State(now time.Time, incarnation string) State {
	now = t.at(now)
	if incarnation == t.self.Incarnation {
		return Alive
	}
	if p := t.peers[incarnation]; p != nil {
		return p.state(now, t.cfg)
	}
	return Unknown
}

// IsListed reports whether the incarnation may still exist. It is false only when its id was listed and is no longer,
// when another incarnation replaced it, or when no listed id can have it; a listed id whose incarnation is unknown or
// failed can have any.
func (t *Table) IsListed(now time.Time, incarnation string) bool {
	now = t.at(now)
	if t.list == nil || incarnation == t.self.Incarnation {
		return true
	}
	p := t.peers[incarnation]
	if p == nil {
		return t.open(now)
	}
	if p.replaced {
		return false
	}
	if _, ok := t.list[p.ID]; ok {
		return true
	}
	s := p.state(now, t.cfg)
	return s == Alive || s == Suspected || !p.shown && now.Sub(p.progress) <= t.cfg.ListLag
}

// Preferred returns the live instances in rendezvous order for the home of a pool, the most preferred first.
func (t *Table) Preferred(now time.Time, pool string) []Member {
	live := t.Live(now)
	order := make([]weighted, len(live))
	for i, m := range live {
		order[i] = weighted{m, rendezvous.Weight(pool, m.Incarnation)}
	}
	slices.SortFunc(order, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), byIncarnation(a.Member, b.Member))
	})
	for i, w := range order {
		live[i] = w.Member
	}
	return live
}

// weighted is a member with its rendezvous weight, which is hashed once and not in each comparison.
type weighted struct {
	Member
	weight uint64
}

// filter returns the members of matching peers in the order of their incarnations.
func (t *Table) filter(match func(*peer) bool) []Member {
	list := make([]Member, 0, len(t.peers)+1)
	for _, p := range t.peers {
		if match(p) {
			list = append(list, p.Member)
		}
	}
	slices.SortFunc(list, byIncarnation)
	return list
}

// leaving reports whether the instance or the platform says that it is leaving.
func (t *Table) leaving(m Member) bool { return m.Leaving || t.list[m.ID].Leaving }

// open reports whether a listed id may have an incarnation that is not known.
func (t *Table) open(now time.Time) bool {
	for id := range t.list {
		p := t.current[id]
		if id != t.self.ID && (p == nil || p.state(now, t.cfg) == Failed || p.gone) {
			return true
		}
	}
	return false
}

func byIncarnation(a, b Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) }
