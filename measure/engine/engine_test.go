package engine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/measure/clock"
)

// rig is an engine whose streams put their ends into a list.
type rig struct {
	*Engine
	c     *clock.Clock
	ended []Stream
}

func newRig(cold bool, change func(*Config)) *rig {
	cfg := Reference
	cfg.Name, cfg.EventLoss = "e", 0
	if change != nil {
		change(&cfg)
	}
	c := &clock.Clock{}
	return &rig{Engine: New(c, cfg, cold), c: c}
}

func (r *rig) admit(id string, prompt, output int, blocks ...uint64) bool {
	return r.Admit(&Stream{ID: id, Prompt: prompt, Output: output, Blocks: blocks, End: func(s Stream) {
		r.ended = append(r.ended, s)
	}})
}

// TestStep guards against a step time that does not grow with the batch, and against prefill beyond the budget.
func TestStep(t *testing.T) {
	r := newRig(false, nil)
	r.admit("a", 2*Reference.PrefillTokens, 3)
	r.c.Run(time.Minute)
	first := 2*Reference.Step(0, Reference.PrefillTokens) + Reference.Step(1, 0)
	assert.Equal(t, r.ended[0].First.Sub(clock.Start), first)
	assert.Equal(t, r.ended[0].Between(), Reference.Step(1, 0))
	for i := range Reference.MaxBatch {
		r.admit(fmt.Sprint(i), 1, 10)
	}
	r.c.Run(2 * time.Minute)
	assert.Equal(t, r.ended[1].Between(), Reference.Step(Reference.MaxBatch, 0))
}

// TestWaiting guards against a batch beyond its limit.
func TestWaiting(t *testing.T) {
	r := newRig(false, func(c *Config) { c.MaxBatch, c.ReportLag = 2, 0 })
	for i := range 3 {
		r.admit(fmt.Sprint(i), 1, 10)
	}
	rep, ok := r.Report()
	assert.Assert(t, ok)
	assert.Equal(t, rep.Running, 2)
	assert.Equal(t, rep.Waiting, 1)
	r.c.Run(time.Minute)
	assert.Equal(t, len(r.ended), 3)
}

// TestCache guards against blocks that count as cached after their eviction, and against hits after a gap.
func TestCache(t *testing.T) {
	r := newRig(false, func(c *Config) { c.CacheBlocks = 3 })
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
			r.c.Run(r.c.Since() + time.Minute)
			assert.Equal(t, r.ended[len(r.ended)-1].Cached, test.cached)
		})
	}
	assert.Equal(t, len(r.Events()), 5+2, "blocks 1 to 4 and 1 again are stored, 1 and 3 are evicted")
}

// TestCold guards against a cold engine that bears more than its limit, or that warms up while it falls over.
func TestCold(t *testing.T) {
	r := newRig(true, func(c *Config) { c.ColdFor = 2 })
	for i := range Reference.ColdLimit + 1 {
		r.admit(fmt.Sprint(i), 1, 1)
	}
	assert.Equal(t, len(r.ended), Reference.ColdLimit+1)
	assert.Assert(t, r.ended[0].Failed && r.ended[0].Cold)
	assert.Equal(t, r.Stats().Fallen, 1)
	for i := range 2 {
		r.admit(fmt.Sprint("again", i), 1, 1)
		assert.Assert(t, r.Cold())
		r.c.Run(r.c.Since() + time.Minute)
	}
	assert.Assert(t, !r.Cold())
}

// TestReport guards against reports that are fresher than their lag.
func TestReport(t *testing.T) {
	r := newRig(false, nil)
	r.admit("a", 1, 1000)
	rep, _ := r.Report()
	assert.Equal(t, rep.Running, 0)
	r.c.Run(Reference.ReportLag)
	rep, _ = r.Report()
	assert.Equal(t, rep.Running, 1)
	assert.Equal(t, rep.Sequence, uint64(2))
	r.SetFaults(Faults{Refuse: true})
	_, ok := r.Report()
	assert.Assert(t, !ok)
}

// TestFaults guards against faults that do not show, or that show where they should not.
func TestFaults(t *testing.T) {
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
			r := newRig(false, nil)
			r.SetFaults(test.faults)
			assert.Assert(t, r.admit("a", 1, 2))
			r.c.Run(time.Minute)
			assert.Equal(t, r.ended[0].Failed, test.failed)
			if !test.failed {
				assert.Equal(t, r.ended[0].Between(), test.slow*Reference.Step(1, 0))
			}
		})
	}
}

// TestCancel guards against a cancelled stream that goes on or reports an end.
func TestCancel(t *testing.T) {
	r := newRig(false, nil)
	r.admit("a", 1, 100)
	r.c.Run(time.Second)
	assert.Assert(t, r.Cancel("a"))
	assert.Assert(t, !r.Cancel("a"))
	r.c.Run(time.Minute)
	assert.Equal(t, len(r.ended), 0)
	assert.Equal(t, r.Load(), 0)
}

// TestSaturated guards against a capacity that the engine's own constants do not explain.
func TestSaturated(t *testing.T) {
	work := Saturated(Reference, func() Stream { return Stream{Prompt: 1, Output: 50} })
	step := Reference.Step(Reference.MaxBatch, 0)
	ideal := time.Duration(float64(Reference.MaxBatch) * 50 / 51 * float64(Work(0, 1)) * float64(time.Second) / float64(step))
	ratio := work.Seconds() / ideal.Seconds()
	assert.Assert(t, ratio > 0.97 && ratio < 1.03, "ratio %v", ratio)
}
