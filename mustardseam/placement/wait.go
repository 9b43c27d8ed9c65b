package placement

import (
	"fmt"
	"time"
)

const (
	// maxWaitFraction is the fraction of the caller's patience after which an unplaced request is refused, so that the
	// caller has time left to retry.
	maxWaitFraction = 0.5
	// minPatience, patienceObjectives and patienceGaps define when callers abandon a stream without events: after
	// minPatience, that many times the objective or that many times the expected gap, whichever is longest.
	minPatience        = 2 * time.Second
	patienceObjectives = 4
	patienceGaps       = 8
	// maxRetryAfterFraction is the largest fraction of the remaining time that is returned as a retry delay; callers do
	// not follow longer ones.
	maxRetryAfterFraction = 1.0 / 3
	// minRetryAfter is the shortest retry delay.
	minRetryAfter = 150 * time.Millisecond
	// serverQueueAfter is the fraction of the time to the objective after which a request of a high tier may wait in the
	// queue of a backend server.
	serverQueueAfter = 0.25
	// maxServerQueue is how many requests beyond its slots a backend server may have when the highest tier is placed.
	maxServerQueue = 2
)

// PlaceBy returns the time at which the job is refused if it has not been placed.
func (j *Job) PlaceBy() time.Time {
	return j.Arrived.Add(time.Duration(maxWaitFraction * float64(j.patienceEnd().Sub(j.Arrived))))
}

// patienceEnd returns the time at which the caller disconnects if no event has arrived.
func (j *Job) patienceEnd() time.Time {
	limit := j.Deadline.Sub(j.Arrived)
	if j.Gap > 0 {
		limit = min(limit, max(minPatience, patienceObjectives*j.Objective.Sub(j.Arrived), patienceGaps*j.Gap))
	}
	return j.Arrived.Add(limit)
}

// MaxQueueDepth returns how many requests beyond its slots a backend server may have when the job is sent to it.
func (j *Job) MaxQueueDepth(now time.Time) int {
	if j.Tier >= maxServerQueue || now.Sub(j.Arrived) <= time.Duration(serverQueueAfter*float64(j.Objective.Sub(j.Arrived))) {
		return 0
	}
	return maxServerQueue - max(0, j.Tier)
}

// retryAfter limits a retry delay to the range that callers follow.
func (j *Job) retryAfter(now time.Time, after time.Duration) time.Duration {
	left := time.Duration(float64(j.Deadline.Sub(now)) * maxRetryAfterFraction)
	return max(0, min(max(after, minRetryAfter), left))
}

// RefuseBackoff returns a refusal if the backoff requested by all backend servers of a job lasts longer than the job may
// wait, and nil if the job may wait.
func RefuseBackoff(now time.Time, j *Job, backoff time.Duration) *Refusal {
	if backoff <= 0 || now.Add(backoff).Before(j.PlaceBy()) {
		return nil
	}
	return &Refusal{Reason: "all backend servers want no requests", RetryAfter: j.retryAfter(now, backoff)}
}

// RefuseLate returns a refusal if a job would wait for longer than its caller has patience, and nil if the job may wait.
func (q *Queue) RefuseLate(now time.Time, j *Job) *Refusal {
	until := j.PlaceBy()
	if !until.After(now) {
		return &Refusal{Reason: "time for placing is over", RetryAfter: j.retryAfter(now, minRetryAfter)}
	}
	wait, known := q.PredictWait(now, j)
	if !known || now.Add(wait).Before(until) {
		return nil
	}
	return &Refusal{RetryAfter: j.retryAfter(now, wait), Reason: fmt.Sprintf(
		"too much waits already: %d ahead, %v expected, %v allowed", q.countAhead(j), wait.Round(time.Millisecond),
		until.Sub(now).Round(time.Millisecond))}
}

// RefuseExpired returns the refusal of a job that waited until its limit.
func (q *Queue) RefuseExpired(now time.Time, j *Job) *Refusal {
	wait, known := q.PredictWait(now, j)
	if !known {
		wait = minRetryAfter
	}
	// The job waited without success, so the load is not a short peak.
	return &Refusal{Reason: "no backend server had room in time", RetryAfter: j.retryAfter(now, max(wait, now.Sub(j.Arrived)))}
}
