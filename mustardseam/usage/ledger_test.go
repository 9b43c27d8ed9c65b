package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testConfig = Config{Window: 5 * time.Second, Due: 10 * time.Second}

// TestRepeatedAndLostMessagesChangeNoCount guards against requests that are counted twice or not at all when messages between
// instances are repeated, reordered or lost, or when the hub changes.
func TestRepeatedAndLostMessagesChangeNoCount(t *testing.T) {
	const hubRun, otherRun = 10, 20
	n1, hub, other := NewLedger("n1", 1, 100), NewLedger("hub", hubRun, 100), NewLedger("other", otherRun, 100)
	n1.Add("a", 100)
	early, upTo := n1.Since(0, 0)
	n1.Add("a", 100)
	n1.Add("b", 101)
	late, _ := n1.Since(upTo, hubRun)
	steps := []struct {
		name  string
		runs  []RunCounts
		total map[string]int64
	}{
		{"later message first", late, map[string]int64{"a": 2}},
		{"earlier message", early, map[string]int64{"a": 2}},
		{"repeated message", late, map[string]int64{"a": 2}},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			hub.Merge(1, step.runs)
			assert.DeepEqual(t, hub.Total(100), step.total)
			assert.DeepEqual(t, hub.Total(101), map[string]int64{"b": 1})
		})
	}
	back, _ := hub.Since(0, 1)
	assert.Equal(t, len(back), 1, "counts must not be returned to where they came from: %v", back)
	all, _ := hub.Since(0, otherRun)
	other.Merge(hubRun, all)
	assert.DeepEqual(t, other.Total(100), map[string]int64{"a": 2})
}

// TestCoverage guards against a window that is sealed before the counts of a running instance have arrived, and against one
// that waits for an instance that is known to be gone.
func TestCoverage(t *testing.T) {
	tests := []struct {
		name    string
		runs    []RunCounts
		active  []string
		want    Coverage
		sealed4 bool // Sealed 1 s, and 4 s, after its end.
		sealed1 bool
	}{
		{"no run of that time", []RunCounts{{Instance: "n1", Run: 1, First: 101, Through: 100}}, nil, Coverage{}, false, false},
		{"complete", []RunCounts{{Instance: "n1", Run: 1, First: 90, Through: 100}}, []string{"n1"}, Coverage{Known: true, Complete: 1}, true, true},
		{"late", []RunCounts{{Instance: "n1", Run: 1, First: 90, Through: 99}}, []string{"n1"}, Coverage{Known: true, Awaited: 1}, false, false},
		{"silent", []RunCounts{{Instance: "n1", Run: 1, First: 90, Through: 99}}, nil, Coverage{Known: true, Silent: 1}, true, false},
		{"silent for longer", []RunCounts{{Instance: "n1", Run: 1, First: 90, Through: 98}}, nil, Coverage{}, false, false},
		{"started again", []RunCounts{
			{Instance: "n1", Run: 1, First: 90, Through: 99},
			{Instance: "n1", Run: 2, First: 100, Through: 100},
		}, []string{"n1"}, Coverage{Known: true, Complete: 1, Lost: 1}, true, true},
		{
			"not heard of yet",
			[]RunCounts{{Instance: "n1", Run: 1, First: 90, Through: 100}},
			[]string{"n1", "n2"},
			Coverage{Known: true, Complete: 1, Awaited: 1},
			false, false,
		},
	}
	var earlier []Sealed
	for number := int64(92); number < 100; number++ {
		earlier = append(earlier, Sealed{Window: number, Accepted: true})
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := NewLedger("self", 9, 200)
			l.Merge(1, test.runs)
			assert.DeepEqual(t, l.Coverage(100, test.active), test.want)
			for age, want := range map[time.Duration]bool{time.Second: test.sealed1, 4 * time.Second: test.sealed4, 6 * time.Second: test.want.Known} {
				due := testConfig.Seal(testConfig.End(100).Add(age), l, Record{}.With(earlier...), test.active)
				assert.Equal(t, len(due) > 0, want, "%v after the end", age)
			}
		})
	}
}

// TestSealedWindowIsNotSealedAgain guards against a second report of a window with other counts.
func TestSealedWindowIsNotSealedAgain(t *testing.T) {
	l := NewLedger("n1", 1, 100)
	l.Add("a", 100)
	l.Advance(101)
	now := testConfig.End(100).Add(time.Second)
	due := testConfig.Seal(now, l, Record{}, []string{"n1"})
	assert.Equal(t, len(due), 1)
	assert.DeepEqual(t, due[0].Counts, map[string]int64{"a": 1})
	record := Record{}.With(due[0].Sealed)
	l.Add("a", 100) // A late count.
	assert.Equal(t, len(testConfig.Seal(now, l, record, []string{"n1"})), 0)
	assert.DeepEqual(t, record.With(Sealed{Window: 100, Counts: map[string]int64{"a": 2}}).Windows[0].Counts, map[string]int64{"a": 1})
	// A later run, after the loss of all instances, must not seal a window that an earlier one may have sealed.
	assert.Equal(t, len(testConfig.Seal(now, NewLedger("n1", 2, 101), Record{}, []string{"n1"})), 0)
}

// TestIsolatedHolder guards against windows that a holder seals with its own counts alone while it is cut off from the rest.
func TestIsolatedHolder(t *testing.T) {
	l := NewLedger("n1", 1, 90)
	l.Merge(1, []RunCounts{{Instance: "n2", Run: 2, First: 90, Through: 99}, {Instance: "n3", Run: 3, First: 90, Through: 99}})
	l.Advance(101)
	end := testConfig.End(100)
	assert.Assert(t, !testConfig.IsIsolated(end.Add(2*time.Second), l, Record{}, []string{"n1"}))
	assert.Assert(t, testConfig.IsIsolated(end.Add(3*time.Second), l, Record{}, []string{"n1"}))
	assert.Assert(t, !testConfig.IsIsolated(end.Add(3*time.Second), l, Record{}, []string{"n1", "n2", "n3"}))
}
