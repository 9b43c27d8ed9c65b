package entry

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAccept guards against a request that is accepted in a planned stop and cut off at its end, and against one that is
// refused although it would have ended in time.
func TestAccept(t *testing.T) {
	const ms = time.Millisecond
	fast := durationSummary{median: 30 * ms, longest: 60 * ms, known: true}
	slow := durationSummary{median: 2300 * ms, longest: 2400 * ms, known: true}
	mixed := durationSummary{median: 800 * ms, longest: 6 * time.Second, known: true}
	unknown := durationSummary{}
	tests := []struct {
		name       string
		grace      time.Duration
		after      time.Duration // Time from the stop signal to the arrival.
		limit      time.Duration
		repeatable bool
		usual      durationSummary
		accepted   bool
	}{
		{"any while callers leave", 8 * time.Second, 2900 * ms, 10 * time.Second, true, unknown, true},
		{"any after callers left", 8 * time.Second, 5400 * ms, 10 * time.Second, true, unknown, false},
		{"any in a short grace period", 2 * time.Second, 1100 * ms, 10 * time.Second, true, unknown, false},
		{"0.3 s at the end", 8 * time.Second, 7 * time.Second, 300 * ms, false, unknown, true},
		{"0.3 s after the end", 8 * time.Second, 7200 * ms, 300 * ms, false, unknown, false},
		{"1.2 s", 8 * time.Second, 6100 * ms, 1200 * ms, false, unknown, true},
		{"1.2 s too late", 8 * time.Second, 6300 * ms, 1200 * ms, false, unknown, false},
		{"2 s", 8 * time.Second, 5400 * ms, 2 * time.Second, false, unknown, true},
		{"2 s too late", 8 * time.Second, 5600 * ms, 2 * time.Second, false, unknown, false},
		{"2.5 s in time", 8 * time.Second, 4800 * ms, 2500 * ms, false, slow, true},
		{"2.5 s too late", 8 * time.Second, 5300 * ms, 2500 * ms, false, slow, false},
		{"2.5 s of a fast route", 8 * time.Second, 7 * time.Second, 2500 * ms, false, fast, true},
		{"10 s of a fast route", 8 * time.Second, 7 * time.Second, 10 * time.Second, false, fast, true},
		{"10 s of a fast route too late", 8 * time.Second, 7100 * ms, 10 * time.Second, false, fast, false},
		{"10 s of a slow route in time", 8 * time.Second, 4600 * ms, 10 * time.Second, false, slow, true},
		{"10 s of a slow route", 8 * time.Second, 4700 * ms, 10 * time.Second, false, slow, false},
		{"10 s of a mixed route at once", 8 * time.Second, 1400 * ms, 10 * time.Second, false, mixed, true},
		{"10 s of a mixed route", 8 * time.Second, 1500 * ms, 10 * time.Second, false, mixed, false},
		{"10 s of a mixed route that may be repeated", 8 * time.Second, 2800 * ms, 10 * time.Second, true, mixed, true},
		{"10 s of a mixed route that may be repeated, later", 8 * time.Second, 3 * time.Second, 10 * time.Second, true, mixed, false},
		{"after the end", 8 * time.Second, 7600 * ms, 10 * time.Second, true, fast, false},
		{"0.3 s in a grace period of 30 s", 30 * time.Second, 29 * time.Second, 300 * ms, false, unknown, true},
		{"10 s in a grace period of 30 s", 30 * time.Second, 19 * time.Second, 10 * time.Second, false, unknown, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			p, at := newStopPlan(start, test.grace), start.Add(test.after)
			r := stopRequest{received: at, deadline: at.Add(test.limit), repeatable: test.repeatable}
			assert.Equal(t, p.accept(at, r, routeSummary{}, test.usual) != refusedByStop, test.accepted)
		})
	}
}

// TestAcceptedRequestsEndBeforeTheProcess guards against two bounds of a planned stop that contradict each other: whatever is
// accepted because of its time limit must end before the process does.
func TestAcceptedRequestsEndBeforeTheProcess(t *testing.T) {
	start := time.Unix(1000, 0)
	for grace := 500 * time.Millisecond; grace <= 60*time.Second; grace += 750 * time.Millisecond {
		p := newStopPlan(start, grace)
		assert.Assert(t, p.acceptAny.Before(p.finishBy) && p.finishBy.Before(p.end) && p.end.Before(start.Add(grace)), "%v", grace)
		for limit := 300 * time.Millisecond; limit <= 10*time.Second; limit += 300 * time.Millisecond {
			for after := min(acceptTime, grace/2) + time.Millisecond; after < grace; after += 250 * time.Millisecond {
				at := start.Add(after)
				ends := at.Add(limit)
				for _, streamed := range []bool{false, true} {
					r := stopRequest{received: at, deadline: ends, streamed: streamed}
					assert.Equal(t, p.accept(at, r, routeSummary{}, durationSummary{}) == acceptedByTimeLimit, !ends.After(p.finishBy),
						"grace period %v, limit %v, arrival after %v", grace, limit, after)
				}
			}
		}
	}
}

// TestWaitingRequestIsRefusedInTime guards against a request that waits for a backend server until it can no longer end.
func TestWaitingRequestIsRefusedInTime(t *testing.T) {
	start := time.Unix(1000, 0)
	p := newStopPlan(start, 8*time.Second)
	received, deadline := start.Add(-time.Second), start.Add(9*time.Second)
	known := durationSummary{median: time.Second, longest: 2 * time.Second, known: true}
	for _, test := range []struct {
		after      time.Duration
		repeatable bool
		run        durationSummary
		waits      bool
	}{
		{5 * time.Second, false, known, true},
		{6 * time.Second, false, known, false},
		{6 * time.Second, true, known, true},
		{7 * time.Second, true, known, false},
		{2 * time.Second, false, durationSummary{}, true},
		{3 * time.Second, false, durationSummary{}, false},
		{3 * time.Second, true, durationSummary{}, false},
	} {
		r := stopRequest{received: received, deadline: deadline, repeatable: test.repeatable}
		assert.Equal(t, p.accept(start.Add(test.after), r, routeSummary{}, test.run) != refusedByStop, test.waits, "%+v", test)
	}
}

// TestAcceptLateStream guards against a stream whose end is not known and that is accepted after its callers have left because
// earlier ones were short, and against the refusal of one that must end in time.
func TestAcceptLateStream(t *testing.T) {
	const ms = time.Millisecond
	of := func(d time.Duration) durationSummary { return durationSummary{median: d, longest: d, known: true} }
	short := routeSummary{total: of(500 * ms), run: of(500 * ms), firstEvent: of(100 * ms), event: of(10 * ms)}
	slowOnce := routeSummary{
		total: of(500 * ms), run: of(500 * ms), firstEvent: of(100 * ms), event: durationSummary{median: 10 * ms, longest: 20 * ms, known: true},
	}
	tests := []struct {
		name      string
		after     time.Duration // Time from the stop signal to the arrival.
		limit     time.Duration
		maxEvents int
		durations routeSummary
		want      acceptance
	}{
		{"while callers leave", 2900 * ms, 10 * time.Second, 0, short, acceptedByHistory},
		{"later", 2901 * ms, 10 * time.Second, 0, short, refusedByStop},
		{"later with a time limit", 5 * time.Second, 2400 * ms, 0, short, acceptedByTimeLimit},
		{"later with a time limit that is too long", 5 * time.Second, 2401 * ms, 0, short, refusedByStop},
		{"later with a size", 5 * time.Second, 10 * time.Second, 200, short, acceptedBySize},
		{"later with a size that is too large", 5 * time.Second, 10 * time.Second, 206, short, refusedByStop},
		{"later with a size on a route that varies", 5 * time.Second, 10 * time.Second, 68, slowOnce, acceptedBySize},
		{"later with a size that is too large on a route that varies", 5 * time.Second, 10 * time.Second, 69, slowOnce, refusedByStop},
		{"later with a size of which nothing is known", 5 * time.Second, 10 * time.Second, 1, routeSummary{}, refusedByStop},
		{"later with the largest size", 3 * time.Second, 10 * time.Second, math.MaxInt, short, refusedByStop},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			at := start.Add(test.after)
			for _, repeatable := range []bool{false, true} {
				r := stopRequest{
					received: at, deadline: at.Add(test.limit), repeatable: repeatable, streamed: true, maxEvents: test.maxEvents,
				}
				got := newStopPlan(start, 8*time.Second).accept(at, r, test.durations, test.durations.total)
				assert.Equal(t, got, test.want)
			}
		})
	}
}

// TestRunningRequestsCount guards against a late request that is accepted by the durations of ended requests while one that has
// not ended has already taken longer.
func TestRunningRequestsCount(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add(4 * time.Second) // 3.4 s are left.
	p := newStopPlan(start, 8*time.Second)
	r := stopRequest{received: at, deadline: at.Add(10 * time.Second)}
	short := durationSummary{median: 100 * time.Millisecond, longest: 100 * time.Millisecond, known: true}
	assert.Equal(t, p.accept(at, r, routeSummary{}.withRunning(3150*time.Millisecond), short), acceptedByHistory)
	assert.Equal(t, p.accept(at, r, routeSummary{}.withRunning(3151*time.Millisecond), short), refusedByStop)
}

// TestPendingRunTime guards against the time in a queue that counts as the duration of a run.
func TestPendingRunTime(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPendingRequests()
	r := &pendingRequest{route: "a", stopRequest: stopRequest{received: now}}
	p.add(r)
	assert.Equal(t, p.longestRun(now.Add(time.Second), "a"), time.Duration(0), "not sent yet")
	assert.Assert(t, r.beginWait())
	assert.Equal(t, p.longestRun(now.Add(2*time.Second), "a"), time.Duration(0), "waiting")
	assert.Assert(t, r.beginSend(now.Add(2*time.Second)))
	assert.Equal(t, p.longestRun(now.Add(5*time.Second), "a"), 3*time.Second)
	assert.Equal(t, p.longestRun(now.Add(5*time.Second), "b"), time.Duration(0))
}

// TestNothingIsAcceptedAfterEarlyEnd guards against a request that is accepted when a planned stop has ended before its time.
func TestNothingIsAcceptedAfterEarlyEnd(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add(2600 * time.Millisecond)
	p := newStopPlan(start, 8*time.Second)
	r := stopRequest{received: at, deadline: at.Add(300 * time.Millisecond)}
	assert.Equal(t, p.accept(at, r, routeSummary{}, durationSummary{}), acceptedByTimeLimit)
	assert.Equal(t, p.withFinishBy(at).accept(at, r, routeSummary{}, durationSummary{}), refusedByStop)
	unlimited := stopRequest{received: at, deadline: at.Add(time.Minute)}
	assert.Equal(t, p.accept(at, unlimited, routeSummary{}, durationSummary{}), acceptedUnknown)
	assert.Equal(t, p.withFinishBy(at).accept(at, unlimited, routeSummary{}, durationSummary{}), refusedByStop)
}
