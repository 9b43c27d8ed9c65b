package place

import "time"

const (
	// waitPart is the part of the caller's patience after which a request that was not placed is refused, so that the caller
	// has time left to come back.
	waitPart = 0.5
	// leastPatience, objectivePatience and gapPatience say when callers abandon a stream that shows nothing.
	leastPatience     = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
	// returnPart is the part of the time left that callers are asked to stay away at most; they follow no more.
	returnPart = 1.0 / 3
	// leastReturn is the shortest time after which a caller is asked to come back.
	leastReturn = 150 * time.Millisecond
	// deepAfter is the part of the objective after which a request of a high tier may wait in the queue of a backend server.
	deepAfter = 0.25
	// deepest is how far the highest tier may fill the queue of a backend server.
	deepest = 2
)

// Until returns when a job that was not placed is to be refused.
func (j *Job) Until() time.Time {
	limit := j.Deadline.Sub(j.Arrived)
	if j.Gap > 0 {
		limit = min(limit, max(leastPatience, objectivePatience*j.Objective.Sub(j.Arrived), gapPatience*j.Gap))
	}
	return j.Arrived.Add(time.Duration(waitPart * float64(limit)))
}

// Deep returns how far beyond its slots a backend server may be filled with a job.
func (j *Job) Deep(now time.Time) int {
	if j.Tier >= deepest || now.Sub(j.Arrived) <= time.Duration(deepAfter*float64(j.Objective.Sub(j.Arrived))) {
		return 0
	}
	return deepest - max(0, j.Tier)
}

// comeBack keeps the time after which a caller comes back within what callers follow.
func (j *Job) comeBack(now time.Time, after time.Duration) time.Duration {
	left := time.Duration(float64(j.Deadline.Sub(now)) * returnPart)
	return max(0, min(max(after, leastReturn), left))
}

// RefuseQuiet returns the refusal of a job whose backend servers all want nothing for longer than the job may wait, and nil
// when it may wait.
func RefuseQuiet(now time.Time, j *Job, quiet time.Duration) *Refusal {
	if quiet <= 0 || now.Add(quiet).Before(j.Until()) {
		return nil
	}
	return &Refusal{Reason: "all backend servers want no requests", After: j.comeBack(now, quiet)}
}

// Refuse returns a refusal when a job would wait for longer than its caller is willing to, and nil when it may wait.
func (q *Queue) Refuse(now time.Time, j *Job) *Refusal {
	until := j.Until()
	if !until.After(now) {
		return &Refusal{Reason: "time for placing is over", After: j.comeBack(now, leastReturn)}
	}
	wait, known := q.Wait(now, j)
	if !known || now.Add(wait).Before(until) {
		return nil
	}
	return &Refusal{Reason: "too much waits already", After: j.comeBack(now, wait)}
}

// GiveUp returns the refusal of a job that waited in vain.
func (q *Queue) GiveUp(now time.Time, j *Job) *Refusal {
	wait, known := q.Wait(now, j)
	if !known {
		wait = leastReturn
	}
	// It has waited in vain, so the load is no short peak.
	return &Refusal{Reason: "no backend server had room in time", After: j.comeBack(now, max(wait, now.Sub(j.Arrived)))}
}
