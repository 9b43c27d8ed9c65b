package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/rendezvous"
)

// Live returns the instances that may get new work, sorted by incarnation: those, including this one, that are alive
// or suspected and not leaving.
func (t *Table) Live(now time.Time) []Member {
	now = t.advanceTo(now)
	list := t.filter(func(p *peer) bool {
		s := p.state(now, t.cfg)
		return (s == Alive || s == Suspected) && !t.leaving(p.Member)
	})
	if !t.leaving(t.self) {
		list = append(list, t.self)
	}
	slices.SortFunc(list, compareByIncarnation)
	return list
}

// Suspected returns the instances to probe, sorted by incarnation.
func (t *Table) Suspected(now time.Time) []Member {
	now = t.advanceTo(now)
	return t.filter(func(p *peer) bool { return p.state(now, t.cfg) == Suspected })
}

// Failed returns the instances that get no new work because they made no progress or were replaced, sorted by
// incarnation.
func (t *Table) Failed(now time.Time) []Member {
	now = t.advanceTo(now)
	return t.filter(func(p *peer) bool { return p.state(now, t.cfg) == Failed })
}

// State returns the state of an incarnation.
func (t *Table) State(now time.Time, incarnation string) State {
	now = t.advanceTo(now)
	if incarnation == t.self.Incarnation {
		return Alive
	}
	if p := t.peers[incarnation]; p != nil {
		return p.state(now, t.cfg)
	}
	return Unknown
}

// MayExist reports whether the incarnation may still exist. It returns false only if its id was listed and no longer
// is, if it was never listed and has made no progress for longer than MaxListLag, if another incarnation replaced it,
// or if it is unknown and no listed id can belong to it. An unknown incarnation can belong to any listed id whose
// current incarnation is unknown or failed.
func (t *Table) MayExist(now time.Time, incarnation string) bool {
	now = t.advanceTo(now)
	if t.platformList == nil || incarnation == t.self.Incarnation {
		return true
	}
	p := t.peers[incarnation]
	if p == nil {
		return t.hasUnresolvedID(now)
	}
	if p.replaced {
		return false
	}
	if _, ok := t.platformList[p.ID]; ok {
		return true
	}
	s := p.state(now, t.cfg)
	return s == Alive || s == Suspected || !p.everListed && now.Sub(p.lastProgress) <= t.cfg.MaxListLag
}

// Preferred returns the live instances in rendezvous order for the home of a pool, most preferred first.
func (t *Table) Preferred(now time.Time, pool string) []Member {
	live := t.Live(now)
	order := make([]weighted, len(live))
	for i, m := range live {
		order[i] = weighted{m, rendezvous.Weight(pool, m.Incarnation)}
	}
	slices.SortFunc(order, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), compareByIncarnation(a.Member, b.Member))
	})
	for i, w := range order {
		live[i] = w.Member
	}
	return live
}

// weighted is a member with its rendezvous weight, which is hashed once instead of in each comparison.
type weighted struct {
	Member
	weight uint64
}

// filter returns the members of the matching peers, sorted by incarnation.
func (t *Table) filter(match func(*peer) bool) []Member {
	list := make([]Member, 0, len(t.peers)+1)
	for _, p := range t.peers {
		if match(p) {
			list = append(list, p.Member)
		}
	}
	slices.SortFunc(list, compareByIncarnation)
	return list
}

// leaving reports whether the instance's own entry or the platform's list says that it is leaving.
func (t *Table) leaving(m Member) bool { return m.Leaving || t.platformList[m.ID].Leaving }

// hasUnresolvedID reports whether a listed id may have an incarnation that is unknown.
func (t *Table) hasUnresolvedID(now time.Time) bool {
	for id := range t.platformList {
		p := t.currentByID[id]
		if id != t.self.ID && (p == nil || p.state(now, t.cfg) == Failed || p.removed) {
			return true
		}
	}
	return false
}

func compareByIncarnation(a, b Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) }
