package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNewQueueRefusesNothingInTime guards against refusals by a queue that has just come into use, as after the loss of a hub.
func TestNewQueueRefusesNothingInTime(t *testing.T) {
	tests := []struct {
		name  string
		quiet time.Duration // Time since the queue was last in use; 0 if it never was.
		rate  int           // Jobs placed per second.
		jobs  int           // Jobs that arrive at once.
	}{
		{"never used", 0, 50, 40},
		{"used a while ago", 10 * time.Second, 50, 40},
		{"slow", 0, 10, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var q Queue
			now := start
			if test.quiet > 0 {
				serve(&q, now, test.rate, 1)
				now = now.Add(test.quiet)
			}
			for range test.jobs {
				q.Add(now, waitingJob("a", 0, time.Hour))
			}
			for q.Len() > 0 {
				now = now.Add(time.Second / time.Duration(test.rate))
				serveOne(&q, now)
				j := job(1000, 100) // It may wait for 2 s, in which all that wait are placed.
				j.Arrived, j.Objective, j.Deadline = now, now.Add(time.Second), now.Add(10*time.Second)
				assert.Assert(t, q.RefuseLate(now, j) == nil, "refused %v after the first job, with %d waiting", now.Sub(start), q.Len())
			}
		})
	}
}

// serve adds jobs and places them at a rate per second.
func serve(q *Queue, now time.Time, rate, jobs int) {
	for range jobs {
		q.Add(now, waitingJob("a", 0, time.Hour))
	}
	for q.Len() > 0 {
		now = now.Add(time.Second / time.Duration(rate))
		serveOne(q, now)
	}
}

// serveOne places one job.
func serveOne(q *Queue, now time.Time) {
	placed := false
	q.Place(now, func(string) int { return 0 }, func(*Waiting) (bool, bool) {
		ok := !placed
		placed = true
		return ok, false
	})
}
