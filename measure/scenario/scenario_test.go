package scenario

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/measure/baseline"
	"github.com/mustardseam/mustardseam/measure/figure"
)

// output runs a scenario and returns its table.
func output(t *testing.T, name string, o Options) string {
	t.Helper()
	s, ok := Find(name)
	assert.Assert(t, ok)
	var b strings.Builder
	assert.NilError(t, figure.Print(&b, figure.Column{Scheduler: "x", Figures: s.Run(o).Figures}))
	return b.String()
}

// TestDeterminism guards against runs of one seed that differ, and against a seed without effect.
func TestDeterminism(t *testing.T) {
	first := output(t, "qasr-steady", Options{Seed: 7})
	assert.Equal(t, first, output(t, "qasr-steady", Options{Seed: 7}))
	assert.Assert(t, first != output(t, "qasr-steady", Options{Seed: 8}))
}

// TestBaselines guards against a baseline that does not carry the rated load.
func TestBaselines(t *testing.T) {
	for _, name := range baseline.Names {
		t.Run(name, func(t *testing.T) {
			mk, ok := baseline.Maker(name)
			assert.Assert(t, ok)
			r := execute(steady(1), Options{Seed: 1, Make: mk})
			top := r.tier(0)
			assert.Assert(t, top.inTime > top.calls*9/10, "%d of %d calls in time", top.inTime, top.calls)
		})
	}
}
