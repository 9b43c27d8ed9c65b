package capacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// steppedServer is a server with a clock that advances by one second for each step.
type steppedServer struct {
	*Server
	now      time.Time
	sequence uint64
}

func newSteppedServer(l Limits, c *Class) *steppedServer {
	return &steppedServer{Server: NewServer(l, c), now: start}
}

func (b *steppedServer) report(cold bool, running, waiting int) {
	b.now = b.now.Add(time.Second)
	b.sequence++
	b.Report(b.now, Reading{Taken: b.now, Sequence: b.sequence, Cold: cold, Running: running, Waiting: waiting})
}

// answer runs one request with the given time between tokens.
func (b *steppedServer) answer(between time.Duration, s Sample) {
	b.now = b.now.Add(time.Second)
	s.Granted, s.OutputTokens, s.InterToken, s.FirstToken = b.now, 100, between, 50*time.Millisecond
	b.Dispatched(b.now)
	b.now = b.now.Add(time.Second)
	b.Finished(b.now, s)
}

// TestColdSignLowersLimit guards against a server that keeps its limit after a sign of a cold start, that gets the
// limit back without evidence, or whose running requests are no longer counted.
func TestColdSignLowersLimit(t *testing.T) {
	tests := []struct {
		name     string
		makeCold func(b *steppedServer)
	}{
		{"report", func(b *steppedServer) { b.report(true, 1, 0) }},
		{"outcome", func(b *steppedServer) { b.answer(0, Sample{Failed: true, Cold: true}) }},
		{"two requests broken at once", func(b *steppedServer) {
			for range 2 {
				b.Dispatched(b.now)
				b.Finished(b.now, Sample{Granted: b.now, Failed: true, BrokenOff: true})
			}
		}},
		{"restart", func(b *steppedServer) { b.sequence = 0; b.report(false, 1, 0) }},
		{"another version", func(b *steppedServer) { b.Configure(b.now, Limits{Warm: 8, Cold: 2}, NewClass()) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newSteppedServer(Limits{Warm: 8, Cold: 2}, NewClass())
			b.report(false, 0, 0)
			b.report(false, 0, 0)
			for range 10 {
				b.answer(0, Sample{OK: true})
			}
			assert.Equal(t, b.Limit(), 8)
			b.Dispatched(b.now)
			test.makeCold(b)
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

// TestOlderReportDoesNotEndColdStart guards against a report taken before a cold outcome that makes the server count as
// warm.
func TestOlderReportDoesNotEndColdStart(t *testing.T) {
	b := newSteppedServer(Limits{Warm: 8, Cold: 2}, NewClass())
	b.report(false, 0, 0)
	taken := b.now.Add(time.Second)
	b.answer(0, Sample{Failed: true, Cold: true})
	b.Report(b.now, Reading{Taken: taken, Sequence: 9})
	assert.Assert(t, b.Cold())
}

// TestProbationStartAndEnd guards against a failing or slow server that keeps its traffic, a fast server that loses it,
// and a server that never leaves probation.
func TestProbationStartAndEnd(t *testing.T) {
	tests := []struct {
		name        string
		answerBadly func(b *steppedServer)
		want        bool
	}{
		{"failing", func(b *steppedServer) { b.answer(0, Sample{Failed: true}) }, true},
		{"slow", func(b *steppedServer) { b.answer(200*time.Millisecond, Sample{OK: true}) }, true},
		{"slower by load", func(b *steppedServer) { b.answer(80*time.Millisecond, Sample{OK: true}) }, false},
		{"cancelled by callers", func(b *steppedServer) { b.answer(0, Sample{MayRun: true}) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			class := NewClass()
			class.Servers = 3
			other, b := newSteppedServer(Limits{Warm: 8, Cold: 2}, class), newSteppedServer(Limits{Warm: 8, Cold: 2}, class)
			other.report(false, 0, 0)
			b.report(false, 0, 0)
			for range 40 {
				other.answer(40*time.Millisecond, Sample{OK: true})
				b.answer(40*time.Millisecond, Sample{OK: true})
			}
			for range 12 {
				test.answerBadly(b)
			}
			assert.Equal(t, b.InProbation(), test.want)
			assert.Assert(t, !other.InProbation())
			if !test.want {
				return
			}
			assert.Equal(t, b.Limit(), 1)
			assert.Assert(t, b.NextProbe().After(b.now))
			for range goodProbesToLeave {
				b.answer(40*time.Millisecond, Sample{OK: true})
			}
			assert.Assert(t, !b.InProbation())
			assert.Equal(t, class.slowMembers, 0)
			assert.Equal(t, b.Limit(), 1, "the limit must come back by evidence")
			b.answer(40*time.Millisecond, Sample{OK: true})
			assert.Equal(t, b.Limit(), 2)
		})
	}
}

// TestLimitLearnsEngineConcurrency guards against a configured limit above the concurrency of the engine, which queues
// requests inside the engine, where tiers are ignored.
func TestLimitLearnsEngineConcurrency(t *testing.T) {
	class := NewClass()
	b := newSteppedServer(Limits{Warm: 32, Cold: 2}, class)
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

// TestDividedLimitIsNotExceeded guards against instances that together exceed the limit although each stays within its
// share.
func TestDividedLimitIsNotExceeded(t *testing.T) {
	tests := []struct{ limit, others, instances, own, want int }{
		{16, 0, 8, 0, 2},
		{16, 9, 8, 0, 0},
		{7, 0, 8, 0, 0},
		{16, 0, 3, 4, 1},
		{2, 4, 2, 0, 0},
	}
	for _, test := range tests {
		b := newSteppedServer(Limits{Warm: test.limit, Cold: test.limit}, NewClass())
		b.SetShared(true)
		for range test.own {
			b.Dispatched(b.now)
		}
		b.now = b.now.Add(time.Minute)
		b.Report(b.now.Add(time.Second), Reading{Taken: b.now, Sequence: 99, Running: test.own + test.others})
		assert.Equal(t, b.Room(test.instances), test.want)
	}
}
