package placement

import (
	"fmt"
	"math"
	"time"
)

const (
	// plainWaitFraction is the fraction of the time to the deadline after which an unplaced request to a plain service is
	// refused. Each instance places these itself, so that a retry at another instance may find room.
	plainWaitFraction = 0.5
	// minWaitFraction is the fraction of the caller's patience that a first attempt may always wait, whatever is predicted.
	minWaitFraction = 0.5
	// firstEventMargin is the multiple of the predicted time to the first event that must be left of the caller's patience
	// when its stream is placed. Engines that are full of other streams take longer than predicted for idle ones.
	firstEventMargin = 2
	// serviceMargin is the multiple of the predicted time at a backend server that must be left until the deadline. Half of the
	// requests take longer than predicted, and one that is cut off has used its slot for nothing.
	serviceMargin = 1.25
	// answerMargin must be left in addition, for the way of the answer to the caller and that of the request.
	answerMargin = 100 * time.Millisecond
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
	// retrySpread is the fraction by which retry delays differ, so that requests refused together do not return together.
	retrySpread = 0.25
	// spreadStep is the fraction of the spread between two refusals. The multiples of the golden ratio are spread evenly.
	spreadStep = 0.6180339887498949
	// serverQueueAfter is the fraction of the time to the objective after which a request of a high tier may wait in the
	// queue of a backend server.
	serverQueueAfter = 0.25
	// maxServerQueue is how many requests beyond its slots a backend server may have when the highest tier is placed.
	maxServerQueue = 2
)

// PlaceBy returns the time at which the job is refused if it has not been placed: when its caller would leave before the
// first event, or when it could not end by its deadline. A caller retries once only. Its first attempt and the second one
// therefore both wait as long as they can, since the load may have passed by then.
func (j *Job) PlaceBy() time.Time {
	limit := j.Deadline.Sub(j.Arrived)
	if j.Gap <= 0 {
		if !j.Returned() {
			limit = time.Duration(plainWaitFraction * float64(limit))
		}
		return j.Arrived.Add(limit)
	}
	patience := min(limit, j.patience())
	if j.Resumed {
		// The caller's silence began before the rest of its stream was queued.
		return j.Arrived.Add(time.Duration(minWaitFraction * float64(patience)))
	}
	wait := min(limit-j.longService(), patience-firstEventMargin*j.FirstEvent-answerMargin)
	if !j.Returned() {
		wait = max(wait, time.Duration(minWaitFraction*float64(patience)))
	}
	return j.Arrived.Add(wait)
}

// patience returns the time after which the caller of a stream leaves without an event.
func (j *Job) patience() time.Duration {
	return max(minPatience, patienceObjectives*j.Objective.Sub(j.arrival()), patienceGaps*j.Gap)
}

// MaxQueueDepth returns how many requests beyond its slots a backend server may have when the job is sent to it. A late
// request has none, since it would keep those that can be in time from the next free slot.
func (j *Job) MaxQueueDepth(now time.Time) int {
	objective := j.Objective.Sub(j.arrival())
	if j.Tier >= maxServerQueue || now.Sub(j.arrival()) <= time.Duration(serverQueueAfter*float64(objective)) {
		return 0
	}
	if !j.Resumed && j.Late(now) {
		return 0
	}
	return maxServerQueue - max(0, j.Tier)
}

// retryAfter limits a retry delay to the range that callers follow. spread, from 0 to 1, selects the delay from an interval
// around it, so that requests refused together do not return together.
func (j *Job) retryAfter(now time.Time, after time.Duration, spread float64) time.Duration {
	left := float64(j.Deadline.Sub(now)) * maxRetryAfterFraction
	longest := left * (1 - retrySpread*spread)
	return time.Duration(max(0, min(max(float64(after)*(1+retrySpread*spread), float64(minRetryAfter)), longest)))
}

// bridge returns the shortest retry delay after which the second attempt can wait until its latest start. A shorter delay
// would end the wait of that attempt, for which the caller does not retry again, while there is still time.
func (j *Job) bridge(now time.Time) time.Duration {
	if j.Gap <= 0 || j.Returned() {
		return 0
	}
	return j.Deadline.Sub(now) - j.longService() - j.patience()
}

// longService returns the time at a backend server that few requests exceed.
func (j *Job) longService() time.Duration {
	return time.Duration(serviceMargin * float64(j.ServiceTime))
}

// secondCovers reports whether the second attempt of a caller that is refused now can wait until its latest start. It then
// has the same chance to be served late as the first one, and is held for a shorter time if it is not served at all.
func (j *Job) secondCovers(now time.Time) bool {
	return j.Gap > 0 && float64(j.bridge(now)) <= maxRetryAfterFraction*(1-retrySpread)*float64(j.Deadline.Sub(now))
}

// refusal returns a refusal for a job that is not likely to be placed within a time.
func (q *Queue) refusal(now time.Time, j *Job, cause Cause, wait time.Duration, reason string) *Refusal {
	q.refusals++
	_, spread := math.Modf(float64(q.refusals) * spreadStep)
	return &Refusal{
		Cause: cause, Reason: reason, RetryAfter: j.retryAfter(now, max(wait, j.bridge(now)), spread), Returned: j.Returned(),
	}
}

// RefuseBackoff returns a refusal if the backoff requested by all backend servers of a job lasts longer than the job may
// wait, and nil if the job may wait.
func RefuseBackoff(now time.Time, j *Job, backoff time.Duration) *Refusal {
	if backoff <= 0 || now.Add(backoff).Before(j.PlaceBy()) {
		return nil
	}
	return &Refusal{
		Cause: CauseBackoff, Reason: "all backend servers want no requests", RetryAfter: j.retryAfter(now, backoff, 0),
		Returned: j.Returned(),
	}
}

// RefuseLate returns a refusal if a job would wait for longer than its caller has patience, and nil if the job may wait. A
// job that was refused before is not refused by prediction again, since its caller does not return a second time.
func (q *Queue) RefuseLate(now time.Time, j *Job) *Refusal {
	until := j.PlaceBy()
	if !until.After(now) {
		return q.refusal(now, j, CauseNoTime, minRetryAfter, "time for placing is over")
	}
	if j.Returned() || j.Resumed {
		return nil
	}
	wait, long, known := q.predictWaits(now, j)
	if !known || now.Add(wait).Before(until) && !(j.Late(now.Add(long)) && j.secondCovers(now)) {
		return nil
	}
	return q.refusal(now, j, CausePredictedWait, wait, fmt.Sprintf("too much waits already: %v expected, %v allowed, %d waiting",
		wait.Round(time.Millisecond), until.Sub(now).Round(time.Millisecond), q.len))
}

// RefuseExpired returns the refusal of a job that waited until its limit.
func (q *Queue) RefuseExpired(now time.Time, j *Job) *Refusal {
	wait, known := q.PredictWait(now, j)
	if !known {
		wait = minRetryAfter
	}
	// The job waited without success, so the load is not a short peak.
	return q.refusal(now, j, CauseWaitOver, max(wait, now.Sub(j.Arrived)), "no backend server had room in time")
}
