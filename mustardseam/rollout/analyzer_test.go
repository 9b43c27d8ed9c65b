package rollout

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const seedCount = 200

// TestGoodVersionCompletesInTime guards against a good version that is rolled back because bursts slow down both versions
// and make both fail, or because its servers are busier, and against one that is not done by its deadline. With alpha =
// 0.001, at most 0.2 false alarms are expected in 200 rollouts, and more than 1 has a probability below 2 %; at least 99
// in 100 must be done in time.
func TestGoodVersionCompletesInTime(t *testing.T) {
	t.Parallel()
	alarms, late := 0, 0
	for seed := range uint64(seedCount) {
		tr := newTraffic(seed, healthy)
		tr.loadOffset = int(seed % 4)
		tr.run()
		if tr.rec.State != Done {
			alarms++
			t.Logf("seed %d: %s", seed, tr.rec.Reason)
		}
		if tr.rec.hasEvent(LateEvent) {
			late++
		}
	}
	t.Logf("%d false alarms, %d late, in %d rollouts", alarms, late, seedCount)
	assert.Assert(t, alarms <= 1)
	assert.Assert(t, late <= seedCount/100)
}

// TestBadVersionIsRolledBack guards against a bad version that is not rolled back, for each kind of fault in the design; at
// least 99 in 100 must be. A fault that is present from the first request must be detected at the canary share.
func TestBadVersionIsRolledBack(t *testing.T) {
	tests := []struct {
		name       string
		fault      func(at time.Duration, load int) (failures, slowdown float64)
		loadOffset int
		canary     bool
	}{
		{"fails at once", func(time.Duration, int) (float64, float64) { return 0.5, 1 }, 0, true},
		{"slow at once", func(time.Duration, int) (float64, float64) { return 0, 2 }, 0, true},
		{"slow at once and busier for it", func(time.Duration, int) (float64, float64) { return 0, 3 }, 3, true},
		{"fails later", func(at time.Duration, _ int) (float64, float64) { return onceFaulty(at, 14*time.Minute, 0.5), 1 }, 0, false},
		{"slow later", func(at time.Duration, _ int) (float64, float64) { return 0, 1 + onceFaulty(at, 16*time.Minute, 2) }, 0, false},
		{"fails under load", func(_ time.Duration, load int) (float64, float64) {
			if load >= 5 {
				return 0.6, 1
			}
			return 0, 1
		}, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var canary, sent []int
			caught, beyondCanary := 0, 0
			for seed := range uint64(seedCount) {
				tr := newTraffic(seed, test.fault)
				tr.loadOffset = test.loadOffset
				tr.run()
				canary, sent = append(canary, tr.canaryRequests), append(sent, tr.targetRequests)
				if tr.rec.State == RolledBack {
					caught++
				}
				if test.canary && tr.rec.Step > 0 {
					beyondCanary++
				}
			}
			slices.Sort(canary)
			slices.Sort(sent)
			t.Logf("%d of %d rolled back, %d beyond the canary share; requests at the canary share: median %d, most %d; in all: "+
				"median %d, most %d", caught, seedCount, beyondCanary, canary[seedCount/2], canary[seedCount-1], sent[seedCount/2], sent[seedCount-1])
			assert.Assert(t, caught >= seedCount*99/100)
			assert.Assert(t, beyondCanary <= seedCount/100)
		})
	}
}

func onceFaulty(at, fault time.Duration, value float64) float64 {
	if at < fault {
		return 0
	}
	return value
}

// TestRoutesAreAnalyzedSeparately guards against a version that is bad on one route but judged by the mean over all routes,
// and against the rollback of other routes with it.
func TestRoutesAreAnalyzedSeparately(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seedCount) {
		bad := newTraffic(seed, func(time.Duration, int) (float64, float64) { return 0.5, 1 })
		good := newTraffic(seed+seedCount, healthy)
		bad.run()
		good.window = bad.now.Sub(start) / 2
		good.run()
		assert.Equal(t, bad.rec.State, RolledBack, "seed %d", seed)
		assert.Assert(t, good.rec.State != RolledBack, "seed %d", seed)
	}
}

// observeBoth observes n responses of each version alternately, 20 ms apart, and returns the time and verdict at the end.
func observeBoth(analyzer *Analyzer, now time.Time, n int, candidate Sample) (time.Time, Verdict) {
	var v Verdict
	for range n {
		now = now.Add(20 * time.Millisecond)
		analyzer.Observe(now, Sample{Version: "old", OK: true, FirstToken: 100 * time.Millisecond})
		candidate.Version = "new"
		v = analyzer.Observe(now, candidate)
	}
	return now, v
}

// TestBadVerdictIsFinal guards against a bad verdict that is revoked after better responses.
func TestBadVerdictIsFinal(t *testing.T) {
	analyzer := NewAnalyzer(AnalyzerConfig{Old: "old", New: "new"})
	now, v := observeBoth(analyzer, start, 50, Sample{})
	assert.Equal(t, v.Decision, Bad)
	assert.Assert(t, v.Reason != "")
	_, v = observeBoth(analyzer, now, 500, Sample{OK: true, FirstToken: 100 * time.Millisecond})
	assert.Equal(t, v.Decision, Bad)
}

// TestEachStepNeedsItsOwnEvidence guards against a step that passes on the evidence of an earlier one, and against an
// advance on outdated evidence when the version has just turned bad.
func TestEachStepNeedsItsOwnEvidence(t *testing.T) {
	analyzer := NewAnalyzer(AnalyzerConfig{Old: "old", New: "new"})
	good := Sample{OK: true, FirstToken: 100 * time.Millisecond}
	now, v := observeBoth(analyzer, start, 60, good)
	assert.Equal(t, v.Decision, Good)
	analyzer.SetStep(now, 1)
	assert.Equal(t, analyzer.Verdict(now).Decision, Undecided)
	now, v = observeBoth(analyzer, now, 2000, good)
	assert.DeepEqual(t, v, Verdict{Decision: Good, Step: 1, Samples: v.Samples})
	_, v = observeBoth(analyzer, now, 3+neighbourCount, Sample{})
	assert.Assert(t, v.Decision != Good)
}

// TestVerdictWithoutControl guards against a verdict on slow responses when the old version gets no requests, and against
// failures of nearly all responses that go undetected then.
func TestVerdictWithoutControl(t *testing.T) {
	tests := []struct {
		name   string
		sample Sample
		want   Decision
	}{
		{"slow", Sample{Version: "new", OK: true, FirstToken: time.Minute}, Undecided},
		{"fails", Sample{Version: "new"}, Bad},
		{"good", Sample{Version: "new", OK: true, FirstToken: 100 * time.Millisecond}, Good},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			analyzer := NewAnalyzer(AnalyzerConfig{Old: "old", New: "new"})
			now, _ := observeBoth(analyzer, start, 60, Sample{OK: true, FirstToken: 100 * time.Millisecond})
			now = now.Add(time.Minute)
			analyzer.SetStep(now, 4)
			for range 100 {
				now = now.Add(50 * time.Millisecond)
				analyzer.Observe(now, test.sample)
			}
			assert.Equal(t, analyzer.Verdict(now.Add(time.Second)).Decision, test.want)
		})
	}
}

// BenchmarkObserve measures the observation of one response of each version.
func BenchmarkObserve(b *testing.B) {
	analyzer := NewAnalyzer(AnalyzerConfig{Old: "old", New: "new"})
	b.ReportAllocs()
	observeBoth(analyzer, start, b.N, Sample{OK: true, FirstToken: 100 * time.Millisecond, InterToken: time.Millisecond})
}
