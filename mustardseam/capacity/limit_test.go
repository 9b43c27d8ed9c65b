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

func (srv *steppedServer) report(cold bool, running, waiting int) {
	srv.now = srv.now.Add(time.Second)
	srv.sequence++
	srv.Report(srv.now, LoadReport{Taken: srv.now, Sequence: srv.sequence, Cold: cold, Running: running, Waiting: waiting})
}

// answer runs one request with the given time between tokens.
func (srv *steppedServer) answer(interToken time.Duration, s Sample) {
	srv.now = srv.now.Add(time.Second)
	s.Granted, s.OutputTokens, s.InterToken, s.FirstToken = srv.now, 100, interToken, 50*time.Millisecond
	srv.RecordGrant(srv.now)
	srv.now = srv.now.Add(time.Second)
	srv.Finished(srv.now, s)
}

// TestColdSignLowersLimit guards against a server that keeps its limit after a sign of a cold start, that gets the
// limit back without evidence, or whose running requests are no longer counted.
func TestColdSignLowersLimit(t *testing.T) {
	tests := []struct {
		name     string
		makeCold func(srv *steppedServer)
	}{
		{"report", func(srv *steppedServer) { srv.report(true, 1, 0) }},
		{"outcome", func(srv *steppedServer) { srv.answer(0, Sample{Failed: true, Cold: true}) }},
		{"two requests broken at once", func(srv *steppedServer) {
			for range 2 {
				srv.RecordGrant(srv.now)
				srv.Finished(srv.now, Sample{Granted: srv.now, Failed: true, Aborted: true})
			}
		}},
		{"restart", func(srv *steppedServer) { srv.sequence = 0; srv.report(false, 1, 0) }},
		{"another version", func(srv *steppedServer) { srv.Configure(srv.now, Limits{Warm: 8, Cold: 2}, NewClass()) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			srv := newSteppedServer(Limits{Warm: 8, Cold: 2}, NewClass())
			srv.report(false, 0, 0)
			srv.report(false, 0, 0)
			for range 10 {
				srv.answer(0, Sample{OK: true})
			}
			assert.Equal(t, srv.Limit(), 8)
			srv.RecordGrant(srv.now)
			test.makeCold(srv)
			assert.Equal(t, srv.Limit(), 2)
			assert.Equal(t, srv.Room(1), 1)
			srv.answer(0, Sample{OK: true})
			assert.Equal(t, srv.Limit(), 2, "an answer while cold is no evidence")
			srv.report(false, 1, 0)
			assert.Equal(t, srv.Limit(), 2, "the limit must not jump")
			srv.answer(0, Sample{OK: true})
			assert.Equal(t, srv.Limit(), 3)
		})
	}
}

// TestOlderReportDoesNotEndColdStart guards against a report taken before a cold outcome that makes the server count as
// warm.
func TestOlderReportDoesNotEndColdStart(t *testing.T) {
	srv := newSteppedServer(Limits{Warm: 8, Cold: 2}, NewClass())
	srv.report(false, 0, 0)
	taken := srv.now.Add(time.Second)
	srv.answer(0, Sample{Failed: true, Cold: true})
	srv.Report(srv.now, LoadReport{Taken: taken, Sequence: 9})
	assert.Assert(t, srv.Cold())
}

// TestProbationStartAndEnd guards against a failing or slow server that keeps its traffic, a fast server that loses it,
// and a server that never leaves probation.
func TestProbationStartAndEnd(t *testing.T) {
	tests := []struct {
		name        string
		answerBadly func(srv *steppedServer)
		want        bool
	}{
		{"failing", func(srv *steppedServer) { srv.answer(0, Sample{Failed: true}) }, true},
		{"slow", func(srv *steppedServer) { srv.answer(200*time.Millisecond, Sample{OK: true}) }, true},
		{"slower by load", func(srv *steppedServer) { srv.answer(80*time.Millisecond, Sample{OK: true}) }, false},
		{"cancelled by callers", func(srv *steppedServer) { srv.answer(0, Sample{MayRun: true}) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			class := NewClass()
			class.MemberCount = 3
			other, srv := newSteppedServer(Limits{Warm: 8, Cold: 2}, class), newSteppedServer(Limits{Warm: 8, Cold: 2}, class)
			other.report(false, 0, 0)
			srv.report(false, 0, 0)
			for range 40 {
				other.answer(40*time.Millisecond, Sample{OK: true})
				srv.answer(40*time.Millisecond, Sample{OK: true})
			}
			for range 12 {
				test.answerBadly(srv)
			}
			assert.Equal(t, srv.InProbation(), test.want)
			assert.Assert(t, !other.InProbation())
			if !test.want {
				return
			}
			assert.Equal(t, srv.Limit(), 1)
			assert.Assert(t, srv.NextProbe().After(srv.now))
			for range goodProbesToLeave {
				srv.answer(40*time.Millisecond, Sample{OK: true})
			}
			assert.Assert(t, !srv.InProbation())
			assert.Equal(t, class.slowMembers, 0)
			assert.Equal(t, srv.Limit(), 1, "the limit must come back by evidence")
			srv.answer(40*time.Millisecond, Sample{OK: true})
			assert.Equal(t, srv.Limit(), 2)
		})
	}
}

// TestLimitLearnsEngineConcurrency guards against a configured limit above the concurrency of the engine, which queues
// requests inside the engine, where tiers are ignored.
func TestLimitLearnsEngineConcurrency(t *testing.T) {
	class := NewClass()
	srv := newSteppedServer(Limits{Warm: 32, Cold: 2}, class)
	srv.report(false, 0, 0)
	for range 40 {
		srv.answer(0, Sample{OK: true})
	}
	srv.report(false, 8, 24)
	srv.report(false, 30, 0)
	assert.Equal(t, srv.Limit(), 32, "one report with waiting requests is no evidence")
	for range 20 {
		srv.report(false, 8, 24)
	}
	assert.Equal(t, srv.Limit(), 8)
	for range 30 {
		srv.report(false, srv.Limit(), 0)
	}
	assert.Assert(t, srv.Limit() > 9, "limit %d", srv.Limit())
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
		srv := newSteppedServer(Limits{Warm: test.limit, Cold: test.limit}, NewClass())
		srv.SetShared(true)
		for range test.own {
			srv.RecordGrant(srv.now)
		}
		srv.now = srv.now.Add(time.Minute)
		srv.Report(srv.now.Add(time.Second), LoadReport{Taken: srv.now, Sequence: 99, Running: test.own + test.others})
		assert.Equal(t, srv.Room(test.instances), test.want)
	}
}
