package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// newTestTable returns a table without callbacks.
func newTestTable() *Table {
	return NewTable(Config{OnQuarantine: func(Pattern) {}, OnRelease: func(Pattern) {}})
}

// step is a crash on a prompt, or an answer to it, after a time since the previous step.
type step struct {
	after  time.Duration
	prompt string // Shared parts, separated by spaces.
	server string // Backend server that crashed; empty for an answer.
}

// play applies steps to a table and returns the time of the last one.
func play(t *Table, now time.Time, steps []step) time.Time {
	for _, s := range steps {
		now = now.Add(s.after)
		if s.server == "" {
			t.RecordAnswer(now, strings.Fields(s.prompt))
		} else {
			t.RecordCrash(now, fleet.Incarnation{ID: s.server}, strings.Fields(s.prompt))
		}
	}
	return now
}

// crashes returns crashes of different backend servers on a prompt.
func crashes(prefix, prompt string, n int, interval time.Duration) []step {
	var steps []step
	for i := range n {
		steps = append(steps, step{interval, prompt, fmt.Sprintf("%s%d", prefix, i)})
	}
	return steps
}

// TestPatternIsFound guards against a part that crashes backend servers and is not found, and against sound parts that are
// taken for it.
func TestPatternIsFound(t *testing.T) {
	const interval = 200 * time.Millisecond
	tests := []struct {
		name    string
		steps   []step
		refused []string // Prompts that must be refused.
		sound   []string // Prompts that must not be refused.
	}{
		{"deadly part", crashes("s", "de", 4, interval), []string{"de", "a de", "a de b"}, []string{"a", ""}},
		{"too few crashes", crashes("s", "de", 3, interval), nil, []string{"de"}},
		{"same backend server", []step{{interval, "de", "s"}, {interval, "de", "s"}, {interval, "de", "s"}, {interval, "de", "s"}}, nil, []string{"de"}},
		{"beside a shared part", crashes("s", "a de", 5, interval), []string{"a de", "a b de"}, []string{"a", "a b"}},
		{
			"beside a part that was answered",
			append(crashes("s", "a de", 4, interval), step{interval, "a", ""}),
			[]string{"a de", "de", "b de"},
			[]string{"a", "a b"},
		},
		{
			"another prompt with the part",
			append(crashes("s", "a de", 4, interval), crashes("t", "b de", 2, interval)...),
			[]string{"a de", "b de", "c de"},
			[]string{"a", "b", "a b"},
		},
		{
			"crash of another cause",
			append(crashes("s", "a de", 4, interval), step{interval, "a", "x"}),
			[]string{"a de"},
			[]string{"a", "a b"},
		},
		{
			"requests beside it",
			append(append(crashes("s", "de", 6, interval), crashes("s", "rare", 5, 0)...), step{interval, "rare other", "s5"}),
			[]string{"de"},
			[]string{"rare", "other"},
		},
		{
			"two parts",
			append(crashes("s", "a de", 4, interval), crashes("t", "b df", 4, interval)...),
			[]string{"a de", "b df"},
			[]string{"a", "b", "a b"},
		},
		{
			"answered between crashes",
			append(append(crashes("s", "hot", 3, interval), step{interval, "hot", ""}), crashes("t", "hot", 3, interval)...),
			nil,
			[]string{"hot"},
		},
		{"loss of power", crashes("s", "hot", 40, time.Millisecond/2), nil, []string{"hot"}},
		{
			"crashes of a release, answers in between",
			append(append(append(crashes("s", "hot", 2, time.Second), step{0, "hot", ""}), crashes("t", "hot", 2, time.Second)...), step{0, "hot", ""}),
			nil,
			[]string{"hot"},
		},
		{
			"deadly from some time on",
			append([]step{{0, "de", ""}}, crashes("s", "de", 5, interval)...),
			[]string{"de"},
			nil,
		},
		{"request", crashes("s", "request:x a", 3, interval), []string{"request:x a"}, []string{"a", "request:y a", "request:x"}},
		{
			"request beside a part that was answered",
			append(crashes("s", "request:x a", 3, interval), step{interval, "request:y a", ""}),
			[]string{"request:x a", "request:x"},
			[]string{"a", "request:y a"},
		},
		{"request without parts", crashes("s", "request:x", 3, interval), []string{"request:x"}, []string{"", "request:y"}},
		{"too few crashes of a request", crashes("s", "request:x a", 2, interval), nil, []string{"request:x a"}},
		{
			"request that was answered between crashes",
			append(append(crashes("s", "request:x", 2, interval), step{interval, "request:x", ""}), crashes("t", "request:x", 2, interval)...),
			nil,
			[]string{"request:x"},
		},
		{"loss of power under a request", crashes("s", "request:x", 3, time.Millisecond), nil, []string{"request:x"}},
		{
			"part under different requests",
			append(crashes("s", "request:x de", 2, interval), crashes("t", "request:y de", 2, interval)...),
			[]string{"request:z de", "request:x de", "request:y de"},
			[]string{"request:x", "a"},
		},
		{
			"requests that crash the same backend servers",
			append(crashes("s", "request:x", 5, interval), crashes("s", "request:y", 4, interval)...),
			[]string{"request:x", "request:y"},
			nil,
		},
		{
			"popular request beside one that crashes backend servers",
			append(append([]step{{0, "request:hot", ""}}, crashes("s", "request:x", 6, interval)...), crashes("s", "request:hot", 6, 0)...),
			[]string{"request:x"},
			[]string{"request:hot"},
		},
		{
			"request beside another one",
			append(crashes("s", "request:x", 5, interval), crashes("s", "request:y", 3, interval)...),
			[]string{"request:x"},
			[]string{"request:y"},
		},
		{"no parts", crashes("s", "", 9, interval), nil, []string{"", "a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTestTable()
			now := play(table, time.Now(), test.steps).Add(answeredSettleTime)
			for _, prompt := range test.refused {
				_, found := table.Match(now, strings.Fields(prompt))
				assert.Assert(t, found, "%q is not refused; patterns %v", prompt, table.Patterns(now))
			}
			for _, prompt := range test.sound {
				_, found := table.Match(now, strings.Fields(prompt))
				assert.Assert(t, !found, "%q is refused; patterns %v", prompt, table.Patterns(now))
			}
		})
	}
}

// TestAnswersElsewhereArriveFirst guards against the refusal of a popular part before other instances have told of answers.
func TestAnswersElsewhereArriveFirst(t *testing.T) {
	first, other := newTestTable(), newTestTable()
	start := time.Now()
	first.RecordAnswer(start.Add(-time.Second), []string{"hot"})
	now := play(first, start, crashes("s", "hot", 6, 60*time.Millisecond))
	_, found := first.Match(now, []string{"hot"})
	assert.Assert(t, !found)
	heard, _ := first.Since(now, 0)
	other.Merge(now, heard)
	other.RecordAnswer(now.Add(time.Second), []string{"hot"})
	heard, _ = other.Since(now.Add(time.Second), 0)
	first.Merge(now.Add(time.Second), heard)
	_, found = first.Match(now.Add(time.Minute), []string{"hot"})
	assert.Assert(t, !found)
}

// TestRetryOfSuspectIsStopped guards against retries that crash further backend servers while a part is not yet refused.
func TestRetryOfSuspectIsStopped(t *testing.T) {
	table := newTestTable()
	now := play(table, time.Now(), crashes("s", "a de", 1, time.Second))
	assert.Assert(t, !table.Suspects(now, []string{"a", "de"}))
	now = play(table, now, crashes("t", "a de", 1, time.Second))
	assert.Assert(t, table.Suspects(now, []string{"b", "de"}))
	table.RecordAnswer(now, []string{"hot"})
	now = play(table, now, crashes("u", "hot", 3, 100*time.Millisecond))
	assert.Assert(t, !table.Suspects(now, []string{"hot"}))
}

// TestTableIsBounded guards against memory that grows with the number of parts, and against a flood of parts that keeps one
// that crashes backend servers from being found.
func TestTableIsBounded(t *testing.T) {
	table := newTestTable()
	now := time.Now()
	flood := func() {
		for n := range 4 * maxRecords {
			now = now.Add(time.Millisecond)
			table.RecordCrash(now, fleet.Incarnation{ID: fmt.Sprintf("x%d", n%7)}, []string{fmt.Sprintf("p%d-%d", n, now.UnixNano())})
			table.RecordAnswer(now, []string{fmt.Sprintf("q%d-%d", n, now.UnixNano())})
		}
	}
	for n := range 4 {
		flood()
		now = play(table, now, crashes(fmt.Sprintf("a%d-", n), "a de", 1, time.Second))
	}
	flood()
	now = play(table, now, crashes("b", "df", 3*maxRecords, 100*time.Millisecond))
	flood()
	now = play(table, now, crashes("c", "dd", 4, 100*time.Millisecond)).Add(time.Second)
	assert.Assert(t, table.Len() <= maxRecords)
	assert.Assert(t, len(table.answered) <= maxAnswered)
	for _, prompt := range []string{"a de", "df", "dd"} {
		_, found := table.Match(now, strings.Fields(prompt))
		assert.Assert(t, found, "%q is not refused", prompt)
	}
	all, _ := table.Since(now, 0)
	assert.Assert(t, len(all) <= maxMessageCrashes)
	long := strings.Repeat("x", maxPartBytes+1)
	table.RecordCrash(now, fleet.Incarnation{ID: "long"}, []string{long})
	_, found := table.records[newKey(fleet.Incarnation{ID: "long"}, []string{long})]
	assert.Assert(t, !found)
}

// TestFingerprintsLeaveRoomForAnsweredParts guards against parts whose answers are forgotten since every request has another
// fingerprint.
func TestFingerprintsLeaveRoomForAnsweredParts(t *testing.T) {
	table := newTestTable()
	now := time.Now()
	table.RecordAnswer(now, []string{"hot"})
	for n := range 2 * maxAnswered {
		table.RecordAnswer(now, []string{fmt.Sprintf("request:%d", n)})
	}
	assert.Equal(t, table.answered["hot"], now)
	assert.Equal(t, len(table.answered), 1)
	assert.Assert(t, len(table.answeredRequests) <= maxAnswered)
}

// TestRefusalsExpire guards against a refusal for ever, and against one that ends while callers still send the part.
func TestRefusalsExpire(t *testing.T) {
	table := newTestTable()
	now := play(table, time.Now(), crashes("s", "de", 4, time.Second))
	for range 5 {
		now = now.Add(RefusalTime - time.Minute)
		table.Sweep(now)
		_, found := table.Match(now, []string{"de"})
		assert.Assert(t, found)
	}
	now = now.Add(RefusalTime + time.Minute)
	table.Sweep(now)
	_, found := table.Match(now, []string{"de"})
	assert.Assert(t, !found)
	assert.Equal(t, table.Len(), 0)
}

// TestSavedCrashesRestoreThePattern guards against a pattern that is forgotten when all instances are lost, and against
// needless writes.
func TestSavedCrashesRestoreThePattern(t *testing.T) {
	table := newTestTable()
	now := play(table, time.Now(), append(crashes("s", "a de", 4, time.Second), crashes("t", "single", 1, time.Second)...))
	saved := table.Unsaved(now, nil)
	assert.Equal(t, len(saved), 4)
	assert.Assert(t, table.Unsaved(now, saved) == nil)
	next := newTestTable()
	next.Merge(now, saved)
	_, found := next.Match(now.Add(answeredSettleTime), []string{"a", "de"})
	assert.Assert(t, found)
	table.RecordAnswer(now, []string{"a"})
	saved = table.Unsaved(now, saved)
	assert.Assert(t, saved != nil, "the sound part must be saved")
	now = now.Add(2 * RefusalTime)
	table.Sweep(now)
	saved = table.Unsaved(now, saved)
	assert.Assert(t, saved != nil, "crashes that no longer count must be removed")
	assert.Equal(t, len(saved), 0)
	assert.Assert(t, table.Unsaved(now, saved) == nil)
}

// TestTablesConverge guards against instances that refuse different prompts after the same crashes and answers, whatever the
// order, the number of repeats and the losses of messages.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		tables := []*Table{newTestTable(), newTestTable(), newTestTable()}
		sent := [3][3]int64{}
		exchange := func(from, to int) {
			crashes, upTo := tables[from].Since(now, sent[from][to])
			tables[to].Merge(now, crashes)
			sent[from][to] = upTo
		}
		parts := []string{"a", "b", "c", "de"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, 2).Draw(t, "instance")
			prompt := rapid.SliceOfNDistinct(rapid.SampledFrom(parts), 1, 3, rapid.ID[string]).Draw(t, "prompt")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				tables[n].RecordAnswer(now, prompt)
			case 1, 2:
				tables[n].RecordCrash(now, fleet.Incarnation{ID: fmt.Sprintf("s%d", rapid.IntRange(0, 9).Draw(t, "server"))}, prompt)
			case 3:
				exchange(n, (n+1)%3)
			case 4:
				sent[n] = [3]int64{} // A lost message, or an instance that starts again.
			}
		}
		for range 3 {
			for n := range tables {
				exchange(n, (n+1)%3)
				exchange(n, (n+2)%3)
			}
		}
		for _, table := range tables[1:] {
			assert.Equal(t, len(table.records), len(tables[0].records))
			for key, r := range table.records {
				assert.DeepEqual(t, r.suspects(), tables[0].records[key].suspects())
			}
		}
	})
}
