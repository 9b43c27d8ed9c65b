package scenario

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/measure/baseline"
	"github.com/mustardseam/mustardseam/measure/figure"
)

// runTable runs a scenario and returns its figures as a table.
func runTable(t *testing.T, name string, o Options) string {
	t.Helper()
	s, ok := Find(name)
	assert.Assert(t, ok)
	var b strings.Builder
	assert.NilError(t, figure.Print(&b, figure.Column{Scheduler: "x", Figures: s.Run(o).Figures}))
	return b.String()
}

// TestRunsDependOnSeedOnly guards against differing results from the same seed and against a seed that has no effect.
func TestRunsDependOnSeedOnly(t *testing.T) {
	first := runTable(t, "qasr-steady", Options{Seed: 7})
	assert.Equal(t, first, runTable(t, "qasr-steady", Options{Seed: 7}))
	assert.Assert(t, first != runTable(t, "qasr-steady", Options{Seed: 8}))
}

// TestBaselinesCarryRatedLoad guards against a baseline that cannot carry the rated load.
func TestBaselinesCarryRatedLoad(t *testing.T) {
	for _, name := range baseline.Names {
		t.Run(name, func(t *testing.T) {
			newScheduler, ok := baseline.Factory(name)
			assert.Assert(t, ok)
			r := execute(steadyPlan(1), Options{Seed: 1, NewScheduler: newScheduler})
			top := r.totals(0)
			assert.Assert(t, top.inTime > top.calls*9/10, "%d of %d calls in time", top.inTime, top.calls)
		})
	}
}
