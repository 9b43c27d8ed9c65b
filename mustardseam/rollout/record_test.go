package rollout

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mustardseam/mustardseam/operator"
)

var movedRoute = operator.Route{Name: "m", Version: "v1", Rollout: &operator.Rollout{
	ID: "r1", To: "v2", CanaryShare: 0.01, Start: start, Deadline: start.Add(100 * time.Second),
}}

// hasEvent reports whether the record has an event of the given kind.
func (r Record) hasEvent(kind string) bool {
	for _, e := range r.Events {
		if e.Kind == kind {
			return true
		}
	}
	return false
}

// TestPlanShares guards against a share that starts early, decreases, or does not reach 1 before the deadline.
func TestPlanShares(t *testing.T) {
	tests := []struct {
		canary float64
		shares []float64
	}{
		{0.01, []float64{0.01, 0.05, 0.25, 0.5, 1}},
		{0.05, []float64{0.05, 0.25, 0.5, 1}},
		{0.1, []float64{0.1, 0.25, 0.5, 1}},
		{0.5, []float64{0.5, 1}},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.canary), func(t *testing.T) {
			p := NewPlan(movedRoute.Rollout.WithCanaryShare(test.canary))
			assert.Equal(t, p.Steps(), len(test.shares))
			for step, share := range test.shares {
				assert.Equal(t, p.Share(start, step), share)
				assert.Equal(t, p.Share(start.Add(-1), step), 0.0)
			}
			last := p.Steps() - 1
			assert.Assert(t, p.DueAt(last-1).Before(movedRoute.Rollout.Deadline))
			assert.Assert(t, p.Due(p.DueAt(last-1), last) && !p.Due(start, 0))
		})
	}
}

// TestAdvance guards against an advance without evidence, on the evidence of another step or ahead of the schedule, against
// a rollout that ends at its deadline without evidence, and against a transition out of a final state.
func TestAdvance(t *testing.T) {
	good := func(step int) Verdict { return Verdict{Decision: Good, Step: step} }
	due := start.Add(95 * time.Second)
	tests := []struct {
		name    string
		step    int
		state   State
		at      time.Time
		verdict Verdict
		want    State
		next    int
	}{
		{"good and due", 0, Running, due, good(0), Running, 1},
		{"not due", 0, Running, start, good(0), Running, 0},
		{"undecided", 0, Running, due, Verdict{Decision: Undecided}, Running, 0},
		{"good for an earlier step", 1, Running, due, good(0), Running, 1},
		{"last step", 4, Running, due, good(4), Done, 4},
		{"late goes on", 1, Late, start.Add(time.Hour), good(1), Late, 2},
		{"late holds", 1, Late, start.Add(time.Hour), Verdict{Decision: Undecided}, Late, 1},
		{"late ends", 4, Late, start.Add(time.Hour), good(4), Done, 4},
		{"bad", 1, Running, start, Verdict{Decision: Bad, Reason: "x"}, RolledBack, 1},
		{"late and bad", 1, Late, due, Verdict{Decision: Bad, Reason: "x"}, RolledBack, 1},
		{"done stays", 4, Done, due, Verdict{Decision: Bad}, Done, 4},
		{"rolled back stays", 1, RolledBack, due, good(1), RolledBack, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := NewRecord(start, movedRoute)
			r.Step, r.State = test.step, test.state
			next, changed := Advance(test.at, r, test.verdict)
			assert.Equal(t, next.State, test.want)
			assert.Equal(t, next.Step, test.next)
			assert.Equal(t, changed, len(next.Events) > len(r.Events))
		})
	}
}

// TestReschedule guards against a new schedule that has no effect, raises the share on its own, or reopens a rollout.
func TestReschedule(t *testing.T) {
	later := movedRoute.Rollout.WithWindow(start, start.Add(time.Hour))
	tests := []struct {
		name    string
		state   State
		step    int
		rollout operator.Rollout
		want    State
		next    int
		share   float64
		changed bool
	}{
		{"unchanged", Running, 2, *movedRoute.Rollout, Running, 2, 0.25, false},
		{"later deadline", Late, 2, later, Running, 2, 0.25, true},
		{"larger canary share", Running, 0, later.WithCanaryShare(0.1), Running, 0, 0.1, true},
		{"larger canary share at a later step", Running, 2, later.WithCanaryShare(0.1), Running, 1, 0.25, true},
		{"rolled back", RolledBack, 2, later, RolledBack, 2, 0.25, false},
		{"another id", Running, 2, operator.Rollout{ID: "r2", To: "v2"}, Running, 2, 0.25, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := NewRecord(start, movedRoute)
			r.Step, r.State, r.Share = test.step, test.state, r.Plan().Share(start, test.step)
			next, changed := Reschedule(start.Add(200*time.Second), r, test.rollout)
			assert.Equal(t, changed, test.changed)
			assert.Equal(t, next.State, test.want)
			assert.Equal(t, next.Step, test.next)
			assert.Equal(t, next.Share, test.share)
		})
	}
}

// TestRollbackSurvivesConcurrentWrites guards against a rollback that is overwritten by a concurrent advance: two homes
// write one record by compare-and-swap, some from stale copies, and in any order a rolled-back rollout must stay rolled
// back with share 0.
func TestRollbackSurvivesConcurrentWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored, marked := NewRecord(start, movedRoute), false
		copies := []Record{stored, stored}
		revision, seen := 0, []int{0, 0}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			i := rapid.IntRange(0, 1).Draw(t, "home")
			next, changed := drawTransition(t, now, copies[i])
			if changed && seen[i] == revision {
				stored, revision = next, revision+1
				marked = marked || next.State == RolledBack
			}
			copies[i], seen[i] = stored, revision
			if marked && (stored.State != RolledBack || stored.Share != 0) {
				t.Fatalf("rolled back, but now %s at %v", stored.State, stored.Share)
			}
			if b, err := json.Marshal(stored); err != nil || len(b) > 4096 {
				t.Fatalf("record of %d bytes, %v", len(b), err)
			}
		}
	})
}

func drawTransition(t *rapid.T, now time.Time, r Record) (Record, bool) {
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		return RollBack(now, r, "marked")
	case 1:
		return MarkLate(now, r)
	}
	return Advance(now, r, Verdict{Decision: Good, Step: r.Step})
}

// TestMarksMerge guards against marks that a merge removes or that depend on the order of merges.
func TestMarksMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOf(rapid.SampledFrom([]string{"a", "b", "c", "d", ""}))
		x, y := ids.Draw(t, "x"), ids.Draw(t, "y")
		var one, other RollbackMarks
		one.Merge(x)
		before := one.List()
		one.Merge(y)
		other.Merge(y)
		other.Merge(x)
		assert.DeepEqual(t, one.List(), other.List())
		assert.Assert(t, !one.Merge(append(x, y...)), "repeated merge reports new marks")
		assert.Assert(t, !one.Has(""))
		for _, id := range before {
			assert.Assert(t, one.Has(id) && !one.Add(id))
		}
	})
}
