package figure

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFailingOrMissingValueViolatesBound guards against a violating or missing value that satisfies its bound.
func TestFailingOrMissingValueViolatesBound(t *testing.T) {
	tests := []struct {
		name  string
		f     Figure
		holds bool
	}{
		{"no bound", New("a", 9, ""), true},
		{"at most", New("a", 1, "").WithBound(AtMost, 1, Targets), true},
		{"above", New("a", 1.1, "").WithBound(AtMost, 1, Targets), false},
		{"at least", New("a", 0.98, "").WithBound(AtLeast, 0.98, Targets), true},
		{"less", New("a", 0.97, "").WithBound(AtLeast, 0.98, Targets), false},
		{"equal is not below", New("a", 1.1, "").WithBound(Below, 1.1, Targets), false},
		{"not a number", New("a", Ratio(0, 0), "").WithBound(AtLeast, 0, Targets), false},
		{"never", New("a", math.Inf(1), "s").WithBound(AtMost, 10, Targets), false},
		{"none", ZeroCount("a", 0), true},
		{"one", ZeroCountByGuarantee("a", 1, 7), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.f.Holds(), test.holds)
			assert.Equal(t, Holds([]Figure{ZeroCount("b", 0), test.f}), test.holds)
		})
	}
}

// TestJainIndex guards against a wrong fairness index: equal shares give 1, and k of n equal ones with the rest 0 give
// k/n.
func TestJainIndex(t *testing.T) {
	assert.Equal(t, Jain([]float64{3, 3, 3}), 1.0)
	assert.Equal(t, Jain([]float64{5, 0, 0, 0}), 0.25)
	assert.Equal(t, Jain([]float64{2, 2, 0, 0}), 0.5)
	assert.Assert(t, math.IsNaN(Jain(nil)))
}

// TestLatencyPercentileResolution guards against percentiles that deviate by more than the histogram's resolution.
func TestLatencyPercentileResolution(t *testing.T) {
	var l Latency
	assert.Equal(t, l.Quantile(0.5), time.Duration(0))
	for i := 1; i <= 1000; i++ {
		l.Add(time.Duration(i) * time.Millisecond)
	}
	l.Add(time.Hour)
	off := l.Quantile(0.95) - 950*time.Millisecond
	assert.Assert(t, off.Abs() < 3*time.Millisecond, "off by %v", off)
	assert.Assert(t, !l.Figures("x", 900)[1].Holds())
}

// TestOutputShowsFailingBounds guards against a table or JSON output that hides a violated bound or fails on NaN.
func TestOutputShowsFailingBounds(t *testing.T) {
	c := Column{"pool", []Figure{ZeroCount("lost", 2), New("share", math.NaN(), "")}}
	other := Column{"round-robin", []Figure{ZeroCount("lost", 5)}}
	var table, js strings.Builder
	assert.NilError(t, Print(&table, c, other))
	lines := strings.Split(table.String(), "\n")
	assert.DeepEqual(t, strings.Fields(lines[1]), []string{"lost", "2", "5", "<=", "0", "design", "4.1", "NO"})
	assert.DeepEqual(t, strings.Fields(lines[2]), []string{"share", "NaN", "-", "-", "-", "-"})
	assert.NilError(t, PrintJSON(&js, c))
	assert.Assert(t, strings.Contains(js.String(), `"value": null`))
	assert.Assert(t, strings.Contains(js.String(), `"holds": false`))
}
