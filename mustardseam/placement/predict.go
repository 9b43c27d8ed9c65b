package placement

import (
	"math"
	"time"
)

const (
	// unknownWork is the work, in seconds, of a job whose time at a backend server is not predicted.
	unknownWork = 1.0
	// minThroughputLeft is the least share of the throughput that is assumed to be left by the work of higher tiers.
	minThroughputLeft = 0.02
)

// jobWork returns the predicted seconds for which a job occupies a slot.
func jobWork(j *Job) float64 {
	if j.ServiceTime <= 0 {
		return unknownWork
	}
	return j.ServiceTime.Seconds()
}

// workAhead is the work of the waiting jobs, in seconds, that are to be placed before a job.
type workAhead struct {
	always float64
	ifLate float64 // In addition if the job is late.
}

// PredictWait predicts how long a job would wait behind the work of the jobs that are to be placed before it. It returns 0 if
// there are none, and false if too little is known of the rate at which work is placed from the queue. A job that would be
// late by then also waits for the late jobs of its tier.
func (q *Queue) PredictWait(now time.Time, j *Job) (time.Duration, bool) {
	perSecond, known := q.throughput.perSecond(now, true)
	return q.workAhead(now, j).wait(now, j, perSecond, known)
}

// predictWaits returns PredictWait, and the wait if the work of higher tiers goes on arriving as it did lately.
func (q *Queue) predictWaits(now time.Time, j *Job) (wait, long time.Duration, known bool) {
	ahead := q.workAhead(now, j)
	perSecond, known := q.throughput.perSecond(now, true)
	left := perSecond
	for _, t := range q.tiers {
		if t.tier < j.Tier {
			higher, _ := t.arrivals.perSecond(now, true)
			left -= higher
		}
	}
	long, _ = ahead.wait(now, j, max(left, minThroughputLeft*perSecond), known)
	wait, known = ahead.wait(now, j, perSecond, known)
	return wait, long, known
}

// workAhead returns the work ahead of a job.
func (q *Queue) workAhead(now time.Time, j *Job) workAhead {
	var a workAhead
	for _, t := range q.tiers {
		if t.tier < j.Tier {
			a.always += t.work
		}
		if t.tier != j.Tier {
			continue
		}
		late := j.Late(now)
		for _, w := range t.waiting {
			switch {
			case classOf(now, w.Job) == classLate:
				if w.Job.Returned() || !j.Returned() {
					a.ifLate += jobWork(w.Job)
				}
			case w.Job.RouteTier <= j.RouteTier || late:
				a.always += jobWork(w.Job)
			}
		}
	}
	return a
}

// wait returns how long a job waits for the work ahead if work is placed at a rate, and whether this is known.
func (a workAhead) wait(now time.Time, j *Job, perSecond float64, known bool) (time.Duration, bool) {
	work := a.always
	if j.Resumed || !j.Late(now) && (work == 0 || known && !j.Late(now.Add(seconds(work/perSecond)))) {
		return a.duration(work, perSecond, known)
	}
	return a.duration(work+a.ifLate, perSecond, known)
}

// duration returns how long it takes to place work at a rate, and whether this is known.
func (workAhead) duration(work, perSecond float64, known bool) (time.Duration, bool) {
	if work == 0 {
		return 0, true
	}
	if !known {
		return 0, false
	}
	return seconds(work / perSecond), true
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return milliseconds(min(s, math.MaxInt32) * 1000) }
