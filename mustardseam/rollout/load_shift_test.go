package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLoadShiftAfterStep guards against a good version that is rolled back because a step moved load from the old version's
// servers to its own, and against a slow version that goes undetected after that.
func TestLoadShiftAfterStep(t *testing.T) {
	const period = 50 * time.Millisecond
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	analyzer := NewAnalyzer(AnalyzerConfig{Route: "model", Old: "v1", New: "v2"})
	observe := func(version string, latency time.Duration) {
		analyzer.Observe(now, Sample{
			Version: version, OK: true, FirstToken: 100 * time.Millisecond, InterToken: latency, LoadBucket: 2,
		})
	}
	observeBothFor := func(d, slowed time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(period) {
			observe("v1", 20*time.Millisecond)
			observe("v2", slowed)
		}
	}
	observeBothFor(20*time.Second, 20*time.Millisecond)
	analyzer.SetStep(now, 1)
	observeBothFor(4*time.Second, 60*time.Millisecond)
	assert.Assert(t, analyzer.Verdict(now).Decision != Bad, "%+v", analyzer.Verdict(now))
	observeBothFor(6*time.Second, 60*time.Millisecond)
	assert.Equal(t, analyzer.Verdict(now).Decision, Bad)
}
