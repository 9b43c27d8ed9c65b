package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// retryFailed is the number of heartbeats of which one goes to a failed instance, so that both sides of a partition
// that has ended find each other again.
const retryFailed = 4

// Delta returns at most limit entries for the next heartbeat: instances whose counter changed since it was last sent,
// those that waited longest first.
func (t *Table) Delta(now time.Time, limit int) []Member {
	now = t.at(now)
	var due []*peer
	for _, p := range t.peers {
		if p.Counter != p.sent && p.state(now, t.cfg) != Failed && !p.gone {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *peer) int {
		return cmp.Or(a.due.Compare(b.due), byIncarnation(a.Member, b.Member))
	})
	due = due[:min(limit, len(due))]
	list, details := make([]Member, len(due)), now.Sub(t.joined) < describeNew
	for i, p := range due {
		list[i] = p.entry(details)
	}
	return list
}

// Spread returns up to n random peers for the next heartbeat; one that is only listed has no incarnation. An instance
// that was never sent to goes first, so that a new one hears from each other one that has heard of it.
func (t *Table) Spread(r *rand.Rand, n int) []Member {
	list := t.choose(r, n)
	for _, m := range list {
		if p := t.peers[m.Incarnation]; p != nil {
			p.greeted = true
		}
	}
	return list
}

// choose returns up to n receivers, those never sent to first.
func (t *Table) choose(r *rand.Rand, n int) []Member {
	good, rest := t.receivers()
	shuffle(r, good)
	shuffle(r, rest)
	slices.SortStableFunc(good, func(a, b Member) int { return cmp.Compare(t.met(a), t.met(b)) })
	if len(good) < n || len(rest) == 0 || r.IntN(retryFailed) > 0 {
		good = append(good, rest...)
		return good[:min(n, len(good))]
	}
	return append(good[:max(0, n-1)], rest[:min(1, n)]...)
}

// receivers returns the peers that are likely to answer and the failed ones, both in a fixed order. A listed id that was
// never heard of is likely to answer for a while after it was first listed.
func (t *Table) receivers() (good, rest []Member) {
	for id, p := range t.current {
		e, listed := t.list[id]
		switch s := p.state(t.last, t.cfg); {
		case s == Alive || s == Suspected:
			good = append(good, p.Member)
		case listed: // Its next incarnation may have another address.
			rest = append(rest, Member{ID: id, Address: e.Address, DataCentre: e.DataCentre})
		}
	}
	for id, e := range t.list {
		if t.current[id] != nil || id == t.self.ID {
			continue
		}
		m := Member{ID: id, Address: e.Address, DataCentre: e.DataCentre}
		if t.last.Sub(t.since[id]) < t.cfg.Fail {
			good = append(good, m)
		} else {
			rest = append(rest, m)
		}
	}
	slices.SortFunc(good, byID)
	slices.SortFunc(rest, byID)
	return good, rest
}

// met returns 0 for a known instance that was never sent to, else 1.
func (t *Table) met(m Member) int {
	if p := t.peers[m.Incarnation]; p != nil && !p.greeted {
		return 0
	}
	return 1
}

func byID(a, b Member) int { return cmp.Compare(a.ID, b.ID) }

func shuffle(r *rand.Rand, list []Member) {
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
