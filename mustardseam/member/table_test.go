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

func one(id string, at time.Duration, counter uint64) Member {
	return Member{ID: id, Incarnation: NewIncarnation(id, start.Add(at), 1), Address: id, Counter: counter}
}

// pass moves the table's time in steps below the pause bound.
func pass(t *Table, from, to time.Duration) {
	for d := from; d <= to; d += 500 * time.Millisecond {
		t.Beat(start.Add(d))
	}
}

// TestSuspicion guards against an instance that is suspected or failed at another time than 1.5 s and 3 s after its
// last progress, and against old news or failed probes that keep it alive.
func TestSuspicion(t *testing.T) {
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
		{"old news", func(b *Table, now time.Time) { b.Heard(now, one("a", 0, 7)) }, 3 * time.Second, Failed},
		{"news", func(b *Table, now time.Time) { b.Heard(now, one("a", 0, 8)) }, 2 * time.Second, Alive},
		{"probed", func(b *Table, now time.Time) { b.Probed(now, one("a", 0, 0).Incarnation, true) }, 2 * time.Second, Alive},
		{"probe failed", func(b *Table, now time.Time) { b.Probed(now, one("a", 0, 0).Incarnation, false) }, 3 * time.Second, Failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTable("b")
			b.Heard(start, one("a", 0, 7))
			pass(b, 0, time.Second)
			if test.late != nil {
				test.late(b, start.Add(time.Second))
			}
			pass(b, time.Second, test.at-1)
			assert.Equal(t, b.State(start.Add(test.at), one("a", 0, 0).Incarnation), test.want)
			assert.Equal(t, len(b.Live(start.Add(test.at))) == 1, test.want == Failed)
		})
	}
}

// TestPause guards against a process that was paused and then takes all others for failed.
func TestPause(t *testing.T) {
	b := newTable("b")
	b.Heard(start, one("dead", 0, 1))
	pass(b, 0, 3*time.Second)
	b.Heard(start.Add(3*time.Second), one("a", 0, 1))
	woken := start.Add(time.Minute)
	assert.Equal(t, b.State(woken, one("a", 0, 0).Incarnation), Alive)
	assert.Equal(t, b.State(woken, one("dead", 0, 0).Incarnation), Failed)
	pass(b, time.Minute, time.Minute+3*time.Second)
	assert.Equal(t, b.State(woken.Add(3*time.Second), one("a", 0, 0).Incarnation), Failed)
}

// TestReplacement guards against a restarted instance that is not recognised, a dead incarnation that late news brings
// back, and a restart after the clock was set back that is never recognised.
func TestReplacement(t *testing.T) {
	first, second := one("a", 0, 900), one("a", time.Second, 1)
	b := newTable("b")
	b.Heard(start, first)
	b.Heard(start, second)
	assert.Equal(t, b.State(start, first.Incarnation), Failed)
	first.Counter++
	b.Heard(start, first)
	assert.Equal(t, b.State(start, first.Incarnation), Failed)
	assert.Equal(t, b.State(start, second.Incarnation), Alive)
	assert.Equal(t, len(b.Live(start)), 2)

	pass(b, 0, 3*time.Second)
	first.Counter++
	b.Heard(start.Add(3*time.Second), first)
	assert.Equal(t, b.State(start.Add(3*time.Second), first.Incarnation), Alive)
	assert.Equal(t, b.State(start.Add(3*time.Second), second.Incarnation), Failed)
}

// TestIsListed guards against a candidate that is counted out although it may still exist, which would let a home go on
// granting without its consent.
func TestIsListed(t *testing.T) {
	known, other := one("a", 0, 1), one("c", 0, 1)
	tests := []struct {
		name  string
		list  []Entry
		heard bool
		at    time.Duration
		want  bool
	}{
		{"no list yet", nil, true, 0, true},
		{"listed and silent", []Entry{{ID: "b"}, {ID: "a"}}, true, 10 * time.Second, true},
		{"not listed yet but heard", []Entry{{ID: "b"}}, true, 0, true},
		{"not listed yet and silent within the lag", []Entry{{ID: "b"}}, true, 10 * time.Second, true},
		{"never listed and silent", []Entry{{ID: "b"}}, true, 62 * time.Second, false},
		{"unknown while an id has no known incarnation", []Entry{{ID: "b"}, {ID: "a"}}, false, 0, true},
		{"unknown while every id has a known incarnation", []Entry{{ID: "b"}, {ID: "c"}}, false, 0, false},
		{"unknown while a listed one has failed", []Entry{{ID: "b"}, {ID: "c"}}, false, 3 * time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTable("b")
			b.Heard(start, other)
			if test.heard {
				b.Heard(start, known)
			}
			pass(b, 0, test.at)
			b.Listed(start.Add(test.at), test.list)
			assert.Equal(t, b.IsListed(start.Add(test.at), known.Incarnation), test.want)
		})
	}
}

// TestDropped guards against an instance that stays in the table after the list dropped it, one that is removed while it
// still makes progress, and an empty list that removes everybody.
func TestDropped(t *testing.T) {
	b, a := newTable("b"), one("a", 0, 1)
	b.Heard(start, a)
	b.Listed(start, []Entry{{ID: "a"}, {ID: "b"}})
	b.Listed(start, []Entry{{ID: "b"}})
	assert.Equal(t, b.State(start, a.Incarnation), Alive)
	pass(b, 0, 3*time.Second)
	b.Listed(start.Add(3*time.Second), nil)
	assert.Equal(t, b.State(start.Add(3*time.Second), a.Incarnation), Failed)
	b.Listed(start.Add(3*time.Second), []Entry{{ID: "b"}})
	assert.Equal(t, b.State(start.Add(3*time.Second), a.Incarnation), Unknown)
	assert.Assert(t, !b.IsListed(start.Add(3*time.Second), a.Incarnation))
	b.Heard(start.Add(3*time.Second), a)
	assert.Equal(t, b.State(start.Add(3*time.Second), a.Incarnation), Unknown)
}

// TestLeaving guards against new work for an instance that its own heartbeat or the list says is leaving.
func TestLeaving(t *testing.T) {
	b := newTable("b")
	leaving := one("a", 0, 1)
	leaving.Leaving = true
	b.Heard(start, leaving)
	b.Heard(start, one("c", 0, 1))
	assert.Equal(t, len(b.Live(start)), 2)
	b.Listed(start, []Entry{{ID: "a"}, {ID: "b"}, {ID: "c", Leaving: true}})
	assert.Equal(t, len(b.Preferred(start, "p")), 1)
}

// TestDelta guards against entries that are sent without news, that starve under the bound, or that a receiver cannot
// use because it lacks the details.
func TestDelta(t *testing.T) {
	b := newTable("b")
	for _, id := range []string{"a", "c", "d"} {
		b.Heard(start, one(id, 0, 1))
	}
	assert.Equal(t, len(b.Delta(start, 2)), 2)
	b.Heard(start.Add(1), one("a", 0, 2))
	rest := b.Delta(start.Add(1), 2)
	assert.Equal(t, rest[0].ID, "d")
	assert.Equal(t, rest[1].ID, "a", "others may not know the instance yet")
	assert.Equal(t, len(b.Delta(start.Add(1), 2)), 0)

	pass(b, 0, describeNew)
	later := start.Add(describeNew + 1)
	b.Heard(later, one("a", 0, 3))
	assert.DeepEqual(t, b.Delta(later, 9), []Member{{Incarnation: one("a", 0, 0).Incarnation, Counter: 3}})
	b.Heard(later, one("e", 0, 1))
	b.Heard(later, one("a", 0, 4))
	for _, m := range b.Delta(later, 9) {
		assert.Assert(t, m.ID != "", "a new instance needs all details")
	}
}
