package engine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/measure/clock"
)

// testEngine is an engine that records its ended streams.
type testEngine struct {
	*Engine
	clock *clock.Clock
	ended []Stream
}

func newTestEngine(cold bool, change func(*Config)) *testEngine {
	cfg := Reference
	cfg.Name, cfg.EventLoss = "e", 0
	if change != nil {
		change(&cfg)
	}
	c := &clock.Clock{}
	return &testEngine{Engine: New(c, cfg, cold), clock: c}
}

func (r *testEngine) admit(id string, prompt, output int, blocks ...uint64) bool {
	return r.Admit(&Stream{ID: id, Prompt: prompt, Output: output, Blocks: blocks, End: func(s Stream) {
		r.ended = append(r.ended, s)
	}})
}

// TestStepTimeFollowsBatch guards against a step time that does not grow with the batch and against prefill beyond the
// budget.
func TestStepTimeFollowsBatch(t *testing.T) {
	r := newTestEngine(false, nil)
	r.admit("a", 2*Reference.PrefillTokens, 3)
	r.clock.Run(time.Minute)
	first := 2*Reference.StepTime(0, Reference.PrefillTokens) + Reference.StepTime(1, 0)
	assert.Equal(t, r.ended[0].First.Sub(clock.Start), first)
	assert.Equal(t, r.ended[0].Between(), Reference.StepTime(1, 0))
	for i := range Reference.MaxBatch {
		r.admit(fmt.Sprint(i), 1, 10)
	}
	r.clock.Run(2 * time.Minute)
	assert.Equal(t, r.ended[1].Between(), Reference.StepTime(Reference.MaxBatch, 0))
}

// TestBatchLimit guards against a batch that exceeds its limit.
func TestBatchLimit(t *testing.T) {
	r := newTestEngine(false, func(c *Config) { c.MaxBatch, c.ReportLag = 2, 0 })
	for i := range 3 {
		r.admit(fmt.Sprint(i), 1, 10)
	}
	rep, ok := r.Report()
	assert.Assert(t, ok)
	assert.Equal(t, rep.Running, 2)
	assert.Equal(t, rep.Waiting, 1)
	r.clock.Run(time.Minute)
	assert.Equal(t, len(r.ended), 3)
}

// TestPrefixCacheEviction guards against evicted blocks that count as cached and against hits counted after a missing
// block.
func TestPrefixCacheEviction(t *testing.T) {
	r := newTestEngine(false, func(c *Config) { c.CacheBlocks = 3 })
	tests := []struct {
		name   string
		blocks []uint64
		cached int
	}{
		{"first", []uint64{1, 2}, 0},
		{"same prefix", []uint64{1, 2, 3}, 2 * BlockTokens},
		{"evicts the oldest", []uint64{4}, 0},
		{"prefix lost its head", []uint64{1, 2}, 0},
		{"whole prompt", []uint64{4}, BlockTokens},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r.admit(test.name, len(test.blocks)*BlockTokens, 1, test.blocks...)
			r.clock.Run(r.clock.Since() + time.Minute)
			assert.Equal(t, r.ended[len(r.ended)-1].CachedTokens, test.cached)
		})
	}
	assert.Equal(t, len(r.Events()), 5+2, "blocks 1 to 4 and 1 again are stored, 1 and 3 are evicted")
}

// TestColdLimit guards against a cold engine that survives load beyond its limit or that warms up from streams that
// this load failed.
func TestColdLimit(t *testing.T) {
	r := newTestEngine(true, func(c *Config) { c.ColdRequests = 2 })
	for i := range Reference.ColdLimit + 1 {
		r.admit(fmt.Sprint(i), 1, 1)
	}
	assert.Equal(t, len(r.ended), Reference.ColdLimit+1)
	assert.Assert(t, r.ended[0].Failed && r.ended[0].Cold)
	assert.Equal(t, r.Stats().Overloaded, 1)
	for i := range 2 {
		r.admit(fmt.Sprint("again", i), 1, 1)
		assert.Assert(t, r.Cold())
		r.clock.Run(r.clock.Since() + time.Minute)
	}
	assert.Assert(t, !r.Cold())
}

// TestReportLag guards against reports that are newer than ReportLag allows.
func TestReportLag(t *testing.T) {
	r := newTestEngine(false, nil)
	r.admit("a", 1, 1000)
	rep, _ := r.Report()
	assert.Equal(t, rep.Running, 0)
	r.clock.Run(Reference.ReportLag)
	rep, _ = r.Report()
	assert.Equal(t, rep.Running, 1)
	assert.Equal(t, rep.Sequence, uint64(2))
	r.SetFaults(Faults{Refuse: true})
	_, ok := r.Report()
	assert.Assert(t, !ok)
}

// TestFaultsAffectMatchingStreams guards against faults without effect and against faults that affect other routes or
// loads.
func TestFaultsAffectMatchingStreams(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		failed bool
		slow   time.Duration
	}{
		{"sound", Faults{}, false, 1},
		{"fails", Faults{FailShare: 1}, true, 1},
		{"slow", Faults{Slow: 3}, false, 3},
		{"other route", Faults{FailShare: 1, Slow: 3, Route: "x"}, false, 1},
		{"under load", Faults{FailShare: 1, Slow: 3, MinBatch: 2}, false, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newTestEngine(false, nil)
			r.SetFaults(test.faults)
			assert.Assert(t, r.admit("a", 1, 2))
			r.clock.Run(time.Minute)
			assert.Equal(t, r.ended[0].Failed, test.failed)
			if !test.failed {
				assert.Equal(t, r.ended[0].Between(), test.slow*Reference.StepTime(1, 0))
			}
		})
	}
}

// TestCancelledStreamEndsSilently guards against a cancelled stream that continues or calls End.
func TestCancelledStreamEndsSilently(t *testing.T) {
	r := newTestEngine(false, nil)
	r.admit("a", 1, 100)
	r.clock.Run(time.Second)
	assert.Assert(t, r.Cancel("a"))
	assert.Assert(t, !r.Cancel("a"))
	r.clock.Run(time.Minute)
	assert.Equal(t, len(r.ended), 0)
	assert.Equal(t, r.Load(), 0)
}

// TestSaturatedThroughputMatchesStepTime guards against a capacity that does not follow from the engine's constants.
func TestSaturatedThroughputMatchesStepTime(t *testing.T) {
	work := SaturatedThroughput(Reference, func() Stream { return Stream{Prompt: 1, Output: 50} })
	step := Reference.StepTime(Reference.MaxBatch, 0)
	ideal := time.Duration(float64(Reference.MaxBatch) * 50 / 51 * float64(ComputeTime(0, 1)) * float64(time.Second) / float64(step))
	ratio := work.Seconds() / ideal.Seconds()
	assert.Assert(t, ratio > 0.97 && ratio < 1.03, "ratio %v", ratio)
}
