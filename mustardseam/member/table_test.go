package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

func newTable(id string) *Table {
	return New(Config{Self: Member{ID: id, Incarnation: NewIncarnation(id, start, 0), Address: id}})
}

// testMember returns the entry of an instance that started at the given offset from start.
func testMember(id string, at time.Duration, counter uint64) Member {
	return Member{ID: id, Incarnation: NewIncarnation(id, start.Add(at), 1), Address: id, Counter: counter}
}

// advance calls NextOwnEntry every 500 ms, which is below the pause threshold.
func advance(t *Table, from, to time.Duration) {
	for d := from; d <= to; d += 500 * time.Millisecond {
		t.NextOwnEntry(start.Add(d))
	}
}

// TestSuspectAndFailTimes guards against an instance that becomes suspected or failed at another time than 1.5 s and
// 3 s after its last progress, and against old entries or failed probes that keep it alive.
func TestSuspectAndFailTimes(t *testing.T) {
	tests := []struct {
		name string
		late func(*Table, time.Time)
		at   time.Duration
		want State
	}{
		{"just before suspicion", nil, 1499 * time.Millisecond, Alive},
		{"suspected", nil, 1500 * time.Millisecond, Suspected},
		{"just before failure", nil, 2999 * time.Millisecond, Suspected},
		{"failed", nil, 3 * time.Second, Failed},
		{"old entry", func(b *Table, now time.Time) { b.ApplyEntry(now, testMember("a", 0, 7)) }, 3 * time.Second, Failed},
		{"news", func(b *Table, now time.Time) { b.ApplyEntry(now, testMember("a", 0, 8)) }, 2 * time.Second, Alive},
		{"probed", func(b *Table, now time.Time) { b.ApplyProbe(now, testMember("a", 0, 0).Incarnation, true) }, 2 * time.Second, Alive},
		{"probe failed", func(b *Table, now time.Time) { b.ApplyProbe(now, testMember("a", 0, 0).Incarnation, false) }, 3 * time.Second, Failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTable("b")
			b.ApplyEntry(start, testMember("a", 0, 7))
			advance(b, 0, time.Second)
			if test.late != nil {
				test.late(b, start.Add(time.Second))
			}
			advance(b, time.Second, test.at-1)
			assert.Equal(t, b.State(start.Add(test.at), testMember("a", 0, 0).Incarnation), test.want)
			assert.Equal(t, len(b.Live(start.Add(test.at))) == 1, test.want == Failed)
		})
	}
}

// TestPauseDoesNotFailOthers guards against a process that considers all others failed after a pause.
func TestPauseDoesNotFailOthers(t *testing.T) {
	b := newTable("b")
	b.ApplyEntry(start, testMember("dead", 0, 1))
	advance(b, 0, 3*time.Second)
	b.ApplyEntry(start.Add(3*time.Second), testMember("a", 0, 1))
	resumed := start.Add(time.Minute)
	assert.Equal(t, b.State(resumed, testMember("a", 0, 0).Incarnation), Alive)
	assert.Equal(t, b.State(resumed, testMember("dead", 0, 0).Incarnation), Failed)
	advance(b, time.Minute, time.Minute+3*time.Second)
	assert.Equal(t, b.State(resumed.Add(3*time.Second), testMember("a", 0, 0).Incarnation), Failed)
}

// TestCurrentIncarnationAfterRestart guards against a restarted instance that is not recognized, a dead incarnation
// that becomes current again through a late entry, and a restart after the clock was set back that is never
// recognized.
func TestCurrentIncarnationAfterRestart(t *testing.T) {
	first, second := testMember("a", 0, 900), testMember("a", time.Second, 1)
	b := newTable("b")
	b.ApplyEntry(start, first)
	b.ApplyEntry(start, second)
	assert.Equal(t, b.State(start, first.Incarnation), Failed)
	first.Counter++
	b.ApplyEntry(start, first)
	assert.Equal(t, b.State(start, first.Incarnation), Failed)
	assert.Equal(t, b.State(start, second.Incarnation), Alive)

	advance(b, 0, 3*time.Second)
	first.Counter++
	b.ApplyEntry(start.Add(3*time.Second), first)
	assert.Equal(t, b.State(start.Add(3*time.Second), first.Incarnation), Alive)
	assert.Equal(t, b.State(start.Add(3*time.Second), second.Incarnation), Failed)
}

// TestMayExist guards against a candidate that counts as ended although it may still exist, which would let a home
// continue to grant without its consent.
func TestMayExist(t *testing.T) {
	known, other := testMember("a", 0, 1), testMember("c", 0, 1)
	tests := []struct {
		name  string
		list  []ListEntry
		heard bool
		at    time.Duration
		want  bool
	}{
		{"no list yet", nil, true, 0, true},
		{"listed and silent", []ListEntry{{ID: "b"}, {ID: "a"}}, true, 10 * time.Second, true},
		{"not listed yet but heard", []ListEntry{{ID: "b"}}, true, 0, true},
		{"not listed yet and silent within the lag", []ListEntry{{ID: "b"}}, true, 10 * time.Second, true},
		{"never listed and silent", []ListEntry{{ID: "b"}}, true, 62 * time.Second, false},
		{"unknown while an id has no known incarnation", []ListEntry{{ID: "b"}, {ID: "a"}}, false, 0, true},
		{"unknown while every id has a known incarnation", []ListEntry{{ID: "b"}, {ID: "c"}}, false, 0, false},
		{"unknown while a listed one has failed", []ListEntry{{ID: "b"}, {ID: "c"}}, false, 3 * time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTable("b")
			b.ApplyEntry(start, other)
			if test.heard {
				b.ApplyEntry(start, known)
			}
			advance(b, 0, test.at)
			b.ApplyList(start.Add(test.at), test.list)
			assert.Equal(t, b.MayExist(start.Add(test.at), known.Incarnation), test.want)
		})
	}
}

// TestRemovalOfUnlistedInstances guards against an instance that stays in the table after the list dropped it, one
// that is removed while it still makes progress, and an empty list that removes all instances.
func TestRemovalOfUnlistedInstances(t *testing.T) {
	b, a := newTable("b"), testMember("a", 0, 1)
	b.ApplyEntry(start, a)
	b.ApplyList(start, []ListEntry{{ID: "a"}, {ID: "b"}})
	b.ApplyList(start, []ListEntry{{ID: "b"}})
	assert.Equal(t, b.State(start, a.Incarnation), Alive)
	advance(b, 0, 3*time.Second)
	b.ApplyList(start.Add(3*time.Second), nil)
	assert.Equal(t, b.State(start.Add(3*time.Second), a.Incarnation), Failed)
	b.ApplyList(start.Add(3*time.Second), []ListEntry{{ID: "b"}})
	assert.Equal(t, b.State(start.Add(3*time.Second), a.Incarnation), Unknown)
	assert.Assert(t, !b.MayExist(start.Add(3*time.Second), a.Incarnation))
	b.ApplyEntry(start.Add(3*time.Second), a)
	assert.Equal(t, b.State(start.Add(3*time.Second), a.Incarnation), Unknown)
}

// TestLeavingInstancesGetNoWork guards against new work for an instance that is leaving according to its own
// heartbeat or the list.
func TestLeavingInstancesGetNoWork(t *testing.T) {
	b := newTable("b")
	leaving := testMember("a", 0, 1)
	leaving.Leaving = true
	b.ApplyEntry(start, leaving)
	b.ApplyEntry(start, testMember("c", 0, 1))
	assert.Equal(t, len(b.Live(start)), 2)
	b.ApplyList(start, []ListEntry{{ID: "a"}, {ID: "b"}, {ID: "c", Leaving: true}})
	assert.Equal(t, len(b.Preferred(start, "p")), 1)
}

// TestDeltaEntries guards against entries that are sent without new information, that starve under the limit, or that
// a receiver cannot use because it lacks the details.
func TestDeltaEntries(t *testing.T) {
	b := newTable("b")
	for _, id := range []string{"a", "c", "d"} {
		b.ApplyEntry(start, testMember(id, 0, 1))
	}
	assert.Equal(t, len(b.NextEntries(start, 2)), 2)
	b.ApplyEntry(start.Add(1), testMember("a", 0, 2))
	rest := b.NextEntries(start.Add(1), 2)
	assert.Equal(t, rest[0].ID, "d")
	assert.Equal(t, rest[1].ID, "a", "others may not know the instance yet")
	assert.Equal(t, len(b.NextEntries(start.Add(1), 2)), 0)

	advance(b, 0, fullEntriesAfterJoin)
	later := start.Add(fullEntriesAfterJoin + 1)
	b.ApplyEntry(later, testMember("a", 0, 3))
	assert.DeepEqual(t, b.NextEntries(later, 9), []Member{{Incarnation: testMember("a", 0, 0).Incarnation, Counter: 3}})
	b.ApplyEntry(later, testMember("e", 0, 1))
	b.ApplyEntry(later, testMember("a", 0, 4))
	for _, m := range b.NextEntries(later, 9) {
		assert.Assert(t, m.ID != "", "a new instance needs all details")
	}
}
