package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefuseOnlyLateJobs guards against keeping jobs that will be placed too late, and against refusing jobs that will
// be placed in time or whose wait is unknown.
func TestRefuseOnlyLateJobs(t *testing.T) {
	tests := []struct {
		name       string
		ahead      int // Number of jobs waiting ahead; four are placed per second.
		unknown    bool
		age        time.Duration // Time since the job arrived.
		refused    bool
		retryAfter time.Duration
	}{
		{"nothing waits", 0, false, 0, false, 0},
		{"in time", 4, false, 0, false, 0},
		{"too late", 40, false, 0, true, 10 * time.Second / 3},
		{"nothing was placed", 40, true, 0, false, 0},
		{"time is over", 0, false, 4 * time.Second, true, 10 * time.Second / 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var q Queue
			if !test.unknown {
				q.throughput = throughput{placed: 8, waited: 2, updated: start}
			}
			for range test.ahead {
				q.Add(start, waitingJob("a", 0, time.Hour))
			}
			j := job(1000, 100) // It may wait for almost four times its objective, which is the longest limit.
			j.Arrived, j.Objective, j.Deadline = start.Add(-test.age), start.Add(time.Second-test.age), start.Add(10*time.Second)
			r := q.RefuseLate(start, j)
			assert.Equal(t, r != nil, test.refused)
			if r != nil {
				assertSpread(t, r.RetryAfter, test.retryAfter)
			}
		})
	}
}

// assertSpread asserts that a retry delay is in the interval around the expected one.
func assertSpread(t *testing.T, got, want time.Duration) {
	t.Helper()
	low, high := time.Duration((1-retrySpread)*float64(want)), time.Duration((1+retrySpread)*float64(want))
	assert.Assert(t, got >= low && got <= high, "%v is not about %v", got, want)
}

// TestRefusedTogetherReturnApart guards against a wave of requests that were refused at the same moment, and against delays
// that callers do not follow.
func TestRefusedTogetherReturnApart(t *testing.T) {
	var q Queue
	seen := map[time.Duration]bool{}
	for range 100 {
		after := q.RefuseExpired(start, job(1000, 100)).RetryAfter
		assert.Assert(t, after <= 10*time.Second/3)
		seen[after.Round(10*time.Millisecond)] = true
	}
	assert.Assert(t, len(seen) > 60, "%d different delays", len(seen))
}

// TestPlaceBy guards against refusals of jobs that could still be served, and against placing those whose callers leave before
// the first event or that cannot end by their deadline.
func TestPlaceBy(t *testing.T) {
	tests := []struct {
		name     string
		deadline time.Duration
		service  time.Duration
		first    time.Duration
		returned bool
		plain    bool
		want     time.Duration
	}{
		{"patience of the caller", 10 * time.Second, time.Second, 100 * time.Millisecond, false, false, 3700 * time.Millisecond},
		{"latest start", 4 * time.Second, time.Second, 100 * time.Millisecond, false, false, 2750 * time.Millisecond},
		{"long service", 4 * time.Second, 3 * time.Second, 100 * time.Millisecond, false, false, 2 * time.Second},
		{"long service, returned", 4 * time.Second, 3 * time.Second, 100 * time.Millisecond, true, false, 250 * time.Millisecond},
		{"plain", 4 * time.Second, time.Second, 0, false, true, 2 * time.Second},
		{"plain, returned", 4 * time.Second, time.Second, 0, true, true, 4 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := job(1000, 100)
			j.Deadline, j.ServiceTime, j.FirstEvent = start.Add(test.deadline), test.service, test.first
			if test.plain {
				j.Gap = 0
			}
			if test.returned {
				j = j.WithReturn(start.Add(-time.Second))
			}
			assert.Equal(t, j.PlaceBy().Sub(start), test.want)
		})
	}
}

// TestRetryAfterOfExpiredJob guards against retry delays that leave no time for the request, and against immediate
// retries.
func TestRetryAfterOfExpiredJob(t *testing.T) {
	tests := []struct {
		name       string
		age        time.Duration // Time since the job arrived.
		left       time.Duration // Time until its deadline.
		retryAfter time.Duration
	}{
		{"as long as it waited", 500 * time.Millisecond, 3 * time.Second, 500 * time.Millisecond},
		{"a third of what is left", 2 * time.Second, 3 * time.Second, time.Second},
		{"at least", 0, 3 * time.Second, minRetryAfter},
		{"until the second attempt can wait to the end", 0, 4700 * time.Millisecond, 700 * time.Millisecond},
		{"over", time.Second, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var q Queue
			j := job(1000, 100)
			j.Arrived, j.Objective, j.Deadline = start.Add(-test.age), start.Add(time.Second-test.age), start.Add(test.left)
			assertSpread(t, q.RefuseExpired(start, j).RetryAfter, test.retryAfter)
		})
	}
}

// TestServerQueueDepthByTier guards against requests of low tiers, or requests that have just arrived, in the queue of a
// backend server.
func TestServerQueueDepthByTier(t *testing.T) {
	tests := []struct {
		name string
		tier int
		age  time.Duration
		want int
	}{
		{"just came", 0, 250 * time.Millisecond, 0},
		{"highest tier", 0, 251 * time.Millisecond, 2},
		{"next tier", 1, 251 * time.Millisecond, 1},
		{"low tier", 2, time.Second, 0},
		{"late", 0, 1001 * time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := job(1000, 100)
			j.Tier = test.tier
			assert.Equal(t, j.MaxQueueDepth(start.Add(test.age)), test.want)
		})
	}
}
