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
		{"time is over", 0, false, 2 * time.Second, true, minRetryAfter},
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
			j := job(1000, 100) // It may wait for 2 s: half of four times its objective, which is the longest limit.
			j.Arrived, j.Objective, j.Deadline = start.Add(-test.age), start.Add(time.Second-test.age), start.Add(10*time.Second)
			r := q.RefuseLate(start, j)
			assert.Equal(t, r != nil, test.refused)
			if r != nil {
				assert.Equal(t, r.RetryAfter, test.retryAfter)
			}
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
		{"as long as it waited", time.Second, 9 * time.Second, time.Second},
		{"a third of what is left", 2 * time.Second, 3 * time.Second, time.Second},
		{"at least", 0, 9 * time.Second, minRetryAfter},
		{"over", time.Second, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var q Queue
			j := job(1000, 100)
			j.Arrived, j.Deadline = start.Add(-test.age), start.Add(test.left)
			assert.Equal(t, q.RefuseExpired(start, j).RetryAfter, test.retryAfter)
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
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := job(1000, 100)
			j.Tier = test.tier
			assert.Equal(t, j.MaxQueueDepth(start.Add(test.age)), test.want)
		})
	}
}
