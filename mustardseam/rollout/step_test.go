package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStepMovesLoad guards against a good version that is taken back because a step moved load to its servers while the
// old version's emptied, and against a slow version that goes unnoticed after that.
func TestStepMovesLoad(t *testing.T) {
	const period = 50 * time.Millisecond
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	j := NewJudge(JudgeConfig{Route: "model", Old: "v1", New: "v2"})
	answer := func(version string, between time.Duration) {
		j.Observe(now, Sample{Version: version, OK: true, First: 100 * time.Millisecond, Between: between, Load: 2})
	}
	both := func(d, slowed time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(period) {
			answer("v1", 20*time.Millisecond)
			answer("v2", slowed)
		}
	}
	both(20*time.Second, 20*time.Millisecond)
	j.SetStep(now, 1)
	both(4*time.Second, 60*time.Millisecond)
	assert.Assert(t, j.Verdict(now).Decision != Bad, "%+v", j.Verdict(now))
	both(6*time.Second, 60*time.Millisecond)
	assert.Equal(t, j.Verdict(now).Decision, Bad)
}
