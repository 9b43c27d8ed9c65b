package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// failedContactInterval is the number of heartbeats of which one is sent to a failed instance, so that both sides
// rediscover each other after a partition.
const failedContactInterval = 4

// NextEntries returns at most limit entries for the next heartbeat: the instances whose counter has changed since it
// was last sent, longest waiting first.
func (t *Table) NextEntries(now time.Time, limit int) []Member {
	now = t.advanceTo(now)
	var due []*peer
	for _, p := range t.peers {
		if p.Counter != p.lastSentCounter && p.state(now, t.cfg) != Failed && !p.removed {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *peer) int {
		return cmp.Or(a.changedAt.Compare(b.changedAt), compareByIncarnation(a.Member, b.Member))
	})
	due = due[:min(limit, len(due))]
	list, details := make([]Member, len(due)), now.Sub(t.lastJoinedAt) < fullEntriesAfterJoin
	for i, p := range due {
		list[i] = p.heartbeatEntry(details)
	}
	return list
}

// NextReceivers returns up to n random receivers for the next heartbeat. A receiver known only from the list has no
// incarnation. Instances that have never been sent a heartbeat come first, so that a new instance gets one from every
// instance that knows it.
func (t *Table) NextReceivers(r *rand.Rand, n int) []Member {
	list := t.chooseReceivers(r, n)
	for _, m := range list {
		if p := t.peers[m.Incarnation]; p != nil {
			p.contacted = true
		}
	}
	return list
}

// chooseReceivers returns up to n receivers, those never contacted first.
func (t *Table) chooseReceivers(r *rand.Rand, n int) []Member {
	likely, unlikely := t.receivers()
	shuffle(r, likely)
	shuffle(r, unlikely)
	slices.SortStableFunc(likely, func(a, b Member) int { return cmp.Compare(t.contactedRank(a), t.contactedRank(b)) })
	if len(likely) < n || len(unlikely) == 0 || r.IntN(failedContactInterval) > 0 {
		likely = append(likely, unlikely...)
		return likely[:min(n, len(likely))]
	}
	return append(likely[:max(0, n-1)], unlikely[:min(1, n)]...)
}

// receivers returns the instances that are likely to answer and the failed ones, both in a fixed order. A listed id
// from which no incarnation is known counts as likely to answer for FailAfter after it was first listed.
func (t *Table) receivers() (likely, unlikely []Member) {
	for id, p := range t.currentByID {
		e, listed := t.platformList[id]
		switch s := p.state(t.lastCall, t.cfg); {
		case s == Alive || s == Suspected:
			likely = append(likely, p.Member)
		case listed: // The next incarnation of the id may have another address.
			unlikely = append(unlikely, Member{ID: id, Address: e.Address, DataCentre: e.DataCentre})
		}
	}
	for id, e := range t.platformList {
		if t.currentByID[id] != nil || id == t.self.ID {
			continue
		}
		m := Member{ID: id, Address: e.Address, DataCentre: e.DataCentre}
		if t.lastCall.Sub(t.listedSince[id]) < t.cfg.FailAfter {
			likely = append(likely, m)
		} else {
			unlikely = append(unlikely, m)
		}
	}
	slices.SortFunc(likely, compareByID)
	slices.SortFunc(unlikely, compareByID)
	return likely, unlikely
}

// contactedRank returns the sort key of a receiver: 0 for a known instance that was never contacted, else 1.
func (t *Table) contactedRank(m Member) int {
	if p := t.peers[m.Incarnation]; p != nil && !p.contacted {
		return 0
	}
	return 1
}

func compareByID(a, b Member) int { return cmp.Compare(a.ID, b.ID) }

func shuffle(r *rand.Rand, list []Member) {
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
