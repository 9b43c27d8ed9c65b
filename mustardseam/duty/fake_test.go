package duty

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testTTL  = 3 * time.Second
	testTick = 50 * time.Millisecond
)

// fakeStore is a store with one key, whose answers can be lost and late.
type fakeStore struct {
	now       time.Duration
	era       int64
	revision  int64
	record    *Record
	recordRev int64
	lease     int64
	leases    map[int64]time.Duration // End of each lease.
	down      bool
	calls     int
}

func newFakeStore() *fakeStore {
	return &fakeStore{era: 1, revision: 100, leases: map[int64]time.Duration{}}
}

// advance moves the time and ends leases.
func (s *fakeStore) advance(now time.Duration) {
	s.now = now
	for id, end := range s.leases {
		if now < end || s.down {
			continue
		}
		s.end(id)
	}
}

func (s *fakeStore) end(id int64) {
	delete(s.leases, id)
	if s.lease == id && s.record != nil {
		s.revision++
		s.record, s.recordRev, s.lease = nil, 0, 0
	}
}

// restore puts the store back to a copy, in which a record may be left.
func (s *fakeStore) restore(revision int64, record *Record) {
	s.era, s.revision, s.record, s.recordRev, s.lease, s.leases = s.era+1, revision, record, 0, 0, map[int64]time.Duration{}
	if record != nil {
		s.recordRev = revision
	}
}

var errDown = errors.New("store is down")

// node is an instance that takes part in an election.
type node struct {
	name     string
	rank     int
	store    *fakeStore
	election *Election
	cut      bool // The instance does not reach the store.
	paused   bool
	lost     bool // The answers to writes are lost.
	stopping bool
	finished bool
	seenEra  int64 // Era in which the record of the copy was written.
	copied   Observation
	acted    []time.Duration
}

func newNode(s *fakeStore, name string, rank int) *node {
	return &node{
		name: name, rank: rank, store: s, finished: true,
		election: NewElection(Config{Instance: name, Run: int64(rank + 1), TTL: testTTL, Start: s.now}),
	}
}

// step lets the instance observe the store and make its calls.
func (n *node) step() {
	s := n.store
	if n.paused {
		return
	}
	if !n.cut && !s.down {
		if n.copied.RecordRevision != s.recordRev || n.seenEra == 0 || s.record == nil {
			n.seenEra = s.era
		}
		n.copied = Observation{Era: s.era, Revision: s.revision, Record: s.record, RecordRevision: s.recordRev, RecordOutdated: s.record != nil && n.seenEra < s.era}
	}
	o := n.copied
	o.Current, o.Eligible, o.Rank = !n.cut && !s.down, !n.stopping, n.rank
	for a := n.election.Step(s.now, o, n.finished); a.Kind != NoAction; a = n.election.Step(s.now, o, n.finished) {
		n.call(a)
	}
	if _, ok := n.election.Right(s.now); ok {
		n.acted = append(n.acted, s.now)
	}
}

func (n *node) call(a Action) {
	s := n.store
	s.calls++
	if n.cut || s.down {
		switch a.Kind {
		case Grant:
			n.election.Granted(s.now, s.now, 0, 0, 0, errDown)
		case Acquire:
			n.election.Acquired(s.now, a.Lease, 0, 0, errDown)
		case Renew:
			n.election.Renewed(s.now, s.now, a.Lease, 0, errDown)
		}
		return
	}
	_, alive := s.leases[a.Lease]
	switch a.Kind {
	case Grant:
		id := rand.Int64()
		s.leases[id] = s.now + testTTL
		n.election.Granted(s.now, s.now, id, s.era, 0, nil)
	case Acquire:
		err := error(nil)
		switch {
		case s.recordRev != a.Expect:
			err = ErrConflict
		case !alive:
			err = ErrNoLease
		default:
			s.revision++
			r := a.Record
			s.record, s.recordRev, s.lease = &r, s.revision, a.Lease
		}
		if n.lost {
			err = errDown
		}
		n.election.Acquired(s.now, a.Lease, s.era, s.revision, err)
	case Renew:
		if !alive {
			n.election.Renewed(s.now, s.now, a.Lease, s.era, ErrNoLease)
			return
		}
		s.leases[a.Lease] = s.now + testTTL
		n.election.Renewed(s.now, s.now, a.Lease, s.era, nil)
	case End:
		s.end(a.Lease)
	}
}

// trial is an election of three instances.
type trial struct {
	store  *fakeStore
	nodes  []*node
	tokens map[int64]string // Instance that acted with a token.
	actors []string         // Instances that acted, in their order.
}

func newTrial() *trial {
	s := newFakeStore()
	return &trial{store: s, nodes: []*node{newNode(s, "a", 0), newNode(s, "b", 1), newNode(s, "c", 2)}, tokens: map[int64]string{}}
}

// until runs the election to a time.
func (l *trial) until(t *testing.T, end time.Duration) {
	t.Helper()
	for l.store.now < end {
		l.store.advance(l.store.now + testTick)
		for _, n := range l.nodes {
			n.step()
			right, ok := n.election.Right(l.store.now)
			if !ok || n.paused {
				continue
			}
			if other := l.tokens[right.Token]; other != "" {
				assert.Equal(t, other, n.name, "two holders with token %d", right.Token)
			}
			l.tokens[right.Token] = n.name
			if len(l.actors) == 0 || l.actors[len(l.actors)-1] != n.name {
				l.actors = append(l.actors, n.name)
			}
		}
	}
}

func (l *trial) token(t *testing.T, name string) int64 {
	t.Helper()
	for _, n := range l.nodes {
		if n.name == name {
			right, ok := n.election.Right(l.store.now)
			assert.Assert(t, ok, "%s does not hold the duties", name)
			return right.Token
		}
	}
	t.Fatalf("no instance %s", name)
	return 0
}
