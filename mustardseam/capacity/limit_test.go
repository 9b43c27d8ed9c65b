package capacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// bench is a server with a clock that moves by a second a step.
type bench struct {
	*Server
	now      time.Time
	sequence uint64
}

func newBench(l Limits, c *Class) *bench {
	return &bench{Server: NewServer(l, c), now: start}
}

func (b *bench) report(cold bool, running, waiting int) {
	b.now = b.now.Add(time.Second)
	b.sequence++
	b.Report(b.now, Reading{Taken: b.now, Sequence: b.sequence, Cold: cold, Running: running, Waiting: waiting})
}

// answer runs one request whose time between tokens is the given one.
func (b *bench) answer(between time.Duration, s Sample) {
	b.now = b.now.Add(time.Second)
	s.Granted, s.Output, s.Between, s.First = b.now, 100, between, 50*time.Millisecond
	b.Dispatched(b.now)
	b.now = b.now.Add(time.Second)
	b.Finished(b.now, s)
}

// TestColdAgain guards against a server that keeps its limit after a sign that it is cold, or gets it back without
// evidence, and against running requests that are forgotten meanwhile.
func TestColdAgain(t *testing.T) {
	tests := []struct {
		name string
		sign func(b *bench)
	}{
		{"report", func(b *bench) { b.report(true, 1, 0) }},
		{"outcome", func(b *bench) { b.answer(0, Sample{Failed: true, Cold: true}) }},
		{"two requests broken at once", func(b *bench) {
			for range 2 {
				b.Dispatched(b.now)
				b.Finished(b.now, Sample{Granted: b.now, Failed: true, Broke: true})
			}
		}},
		{"restart", func(b *bench) { b.sequence = 0; b.report(false, 1, 0) }},
		{"another version", func(b *bench) { b.Configure(b.now, Limits{Warm: 8, Cold: 2}, NewClass()) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(Limits{Warm: 8, Cold: 2}, NewClass())
			b.report(false, 0, 0)
			b.report(false, 0, 0)
			for range 10 {
				b.answer(0, Sample{OK: true})
			}
			assert.Equal(t, b.Limit(), 8)
			b.Dispatched(b.now)
			test.sign(b)
			assert.Equal(t, b.Limit(), 2)
			assert.Equal(t, b.Room(1), 1)
			b.answer(0, Sample{OK: true})
			assert.Equal(t, b.Limit(), 2, "an answer while cold is no evidence")
			b.report(false, 1, 0)
			assert.Equal(t, b.Limit(), 2, "the limit must not jump")
			b.answer(0, Sample{OK: true})
			assert.Equal(t, b.Limit(), 3)
		})
	}
}

// TestStaleCold guards against a report from before a cold outcome that makes the server count as warm.
func TestStaleCold(t *testing.T) {
	b := newBench(Limits{Warm: 8, Cold: 2}, NewClass())
	b.report(false, 0, 0)
	taken := b.now.Add(time.Second)
	b.answer(0, Sample{Failed: true, Cold: true})
	b.Report(b.now, Reading{Taken: taken, Sequence: 9})
	assert.Assert(t, b.Cold())
}

// TestProbation guards against a failing or slow server that keeps its traffic, a fast one that loses it, and one that
// never comes back.
func TestProbation(t *testing.T) {
	tests := []struct {
		name string
		bad  func(b *bench)
		want bool
	}{
		{"failing", func(b *bench) { b.answer(0, Sample{Failed: true}) }, true},
		{"slow", func(b *bench) { b.answer(200*time.Millisecond, Sample{OK: true}) }, true},
		{"slower by load", func(b *bench) { b.answer(80*time.Millisecond, Sample{OK: true}) }, false},
		{"cancelled by callers", func(b *bench) { b.answer(0, Sample{MayRun: true}) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			class := NewClass()
			class.Servers = 3
			other, b := newBench(Limits{Warm: 8, Cold: 2}, class), newBench(Limits{Warm: 8, Cold: 2}, class)
			other.report(false, 0, 0)
			b.report(false, 0, 0)
			for range 40 {
				other.answer(40*time.Millisecond, Sample{OK: true})
				b.answer(40*time.Millisecond, Sample{OK: true})
			}
			for range 12 {
				test.bad(b)
			}
			assert.Equal(t, b.Probation(), test.want)
			assert.Assert(t, !other.Probation())
			if !test.want {
				return
			}
			assert.Equal(t, b.Limit(), 1)
			assert.Assert(t, b.NextProbe().After(b.now))
			for range probes {
				b.answer(40*time.Millisecond, Sample{OK: true})
			}
			assert.Assert(t, !b.Probation())
			assert.Equal(t, class.slow, 0)
			assert.Equal(t, b.Limit(), 1, "the limit must come back by evidence")
			b.answer(40*time.Millisecond, Sample{OK: true})
			assert.Equal(t, b.Limit(), 2)
		})
	}
}

// TestLearnedLimit guards against a configured limit above what the engine runs at a time, which queues requests
// inside the engine where tiers do not count.
func TestLearnedLimit(t *testing.T) {
	class := NewClass()
	b := newBench(Limits{Warm: 32, Cold: 2}, class)
	b.report(false, 0, 0)
	for range 40 {
		b.answer(0, Sample{OK: true})
	}
	b.report(false, 8, 24)
	b.report(false, 30, 0)
	assert.Equal(t, b.Limit(), 32, "one report with waiting requests is no evidence")
	for range 20 {
		b.report(false, 8, 24)
	}
	assert.Equal(t, b.Limit(), 8)
	for range 30 {
		b.report(false, b.Limit(), 0)
	}
	assert.Assert(t, b.Limit() > 9, "limit %d", b.Limit())
}

// TestStaticShare guards against instances that together exceed the limit when each keeps to its share.
func TestStaticShare(t *testing.T) {
	tests := []struct{ limit, others, instances, own, want int }{
		{16, 0, 8, 0, 2},
		{16, 9, 8, 0, 0},
		{7, 0, 8, 0, 0},
		{16, 0, 3, 4, 1},
		{2, 4, 2, 0, 0},
	}
	for _, test := range tests {
		b := newBench(Limits{Warm: test.limit, Cold: test.limit}, NewClass())
		b.Share(true)
		for range test.own {
			b.Dispatched(b.now)
		}
		b.now = b.now.Add(time.Minute)
		b.Report(b.now.Add(time.Second), Reading{Taken: b.now, Sequence: 99, Running: test.own + test.others})
		assert.Equal(t, b.Room(test.instances), test.want)
	}
}
