package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBaselineIsTheLowestMedian guards against a baseline that follows a disturbance, and against queues that count as one.
func TestBaselineIsTheLowestMedian(t *testing.T) {
	var b Baseline
	add := func(n int, first, inter time.Duration) {
		for range n {
			b.Add(Sample{OK: true, FirstToken: first, InterToken: inter})
			b.Add(Sample{})
		}
	}
	assert.Equal(t, b.usual(interTokenShift), time.Duration(0))
	add(baselineSamples, 100, 0)
	assert.Equal(t, b.usual(firstTokenShift), time.Duration(100))
	add(baselineSamples, 100, 5)
	assert.Equal(t, b.usual(firstTokenShift), time.Duration(0))
	assert.Equal(t, b.usual(interTokenShift), time.Duration(5))
	add(10*baselineSamples, 100, 20)
	assert.Equal(t, b.usual(interTokenShift), time.Duration(5))
	add(baselineMedians*baselineSamples, 100, 20)
	assert.Equal(t, b.usual(interTokenShift), time.Duration(20))
	assert.Assert(t, len(b.medians[0]) <= baselineMedians)
	assert.Equal(t, (*Baseline)(nil).usual(interTokenShift), time.Duration(0))
}
