package placement

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"
	"time"
)

// unknownWork is the work, in seconds, of a job whose time at a backend server is not predicted.
const unknownWork = 1.0

// Waiting is a job in a queue.
type Waiting struct {
	Job     *Job
	PlaceBy time.Time // Time at which the job is refused if it has not been placed.
	seq     uint64    // Position in the order of arrival.
	placed  bool      // The job was placed by the current call of Place.
}

// work returns the predicted seconds that the job occupies a slot.
func (w *Waiting) work() float64 { return jobWork(w.Job) }

// jobWork returns the predicted seconds that a job occupies a slot.
func jobWork(j *Job) float64 {
	if j.ServiceTime <= 0 {
		return unknownWork
	}
	return j.ServiceTime.Seconds()
}

// Queue holds the jobs of one service that wait for room, in the order in which they are to be placed: by tier; within a
// tier by class, so that a late job does not displace one that can still meet its objective. Within a class, jobs of callers
// that were refused before go first. Then those that can meet their objective are ordered by the tier of the route, by
// whether their team has more running work than the mean of the waiting teams, and by the time by which they must begin;
// late ones by the time at which their callers leave.
type Queue struct {
	waiting    []*Waiting
	lastSeq    uint64
	refusals   uint64     // Number of refusals that named a time, which spreads these times.
	throughput throughput // Of the work, in seconds, of the jobs placed from the queue.
}

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return len(q.waiting) }

// Add appends a job.
func (q *Queue) Add(now time.Time, w *Waiting) {
	q.throughput.observe(now, 0, len(q.waiting) > 0)
	q.lastSeq++
	w.seq = q.lastSeq
	q.waiting = append(q.waiting, w)
}

// Remove removes a job and reports whether it was in the queue.
func (q *Queue) Remove(w *Waiting) bool {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Place calls try for the waiting jobs in order and removes those that try reports as placed. It stops when try reports
// that it wants no more. running returns the predicted work, in milliseconds, of the running jobs of a team.
func (q *Queue) Place(now time.Time, running func(team string) int, try func(*Waiting) (placed, more bool)) {
	if len(q.waiting) == 0 {
		return
	}
	work := 0.0
	defer func() { q.throughput.observe(now, work, true) }()
	groups := q.groups(now)
	overShare := q.teamsOverShare(running)
	anyPlaced := false
	for _, key := range slices.SortedFunc(maps.Keys(groups), groupKey.compare) {
		// Usually only a few jobs are placed before there is no room left, so only the groups that are reached are
		// ordered, and a heap is cheaper than sorting all jobs of one.
		h := &waitingHeap{waiting: groups[key], before: func(a, b *Waiting) bool { return before(key.class, overShare, a, b) }}
		heap.Init(h)
		more := true
		for more && h.Len() > 0 {
			w := heap.Pop(h).(*Waiting)
			if w.placed, more = try(w); w.placed {
				anyPlaced = true
				work += w.work()
			}
		}
		if !more {
			break
		}
	}
	if anyPlaced {
		q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiting) bool { return w.placed })
	}
}

// MaxQueueDepth returns the largest number of requests beyond its slots that any waiting job allows at a backend server.
func (q *Queue) MaxQueueDepth(now time.Time) int {
	depth := 0
	for _, w := range q.waiting {
		depth = max(depth, w.Job.MaxQueueDepth(now))
	}
	return depth
}

// RemoveExpired removes and returns the jobs that have waited until their limit.
func (q *Queue) RemoveExpired(now time.Time) []*Waiting {
	var expired []*Waiting
	remaining := q.waiting[:0]
	for _, w := range q.waiting {
		if now.Before(w.PlaceBy) {
			remaining = append(remaining, w)
		} else {
			expired = append(expired, w)
		}
	}
	clear(q.waiting[len(remaining):])
	q.waiting = remaining
	return expired
}

// PredictWait predicts how long a job would wait behind the work of the jobs that are to be placed before it. It returns 0 if
// there are none, and false if too little is known of the rate at which work is placed from the queue. A job that would be
// late by then also waits for the late jobs of its tier.
func (q *Queue) PredictWait(now time.Time, j *Job) (time.Duration, bool) {
	inTime, late := q.workAhead(now, j)
	perSecond, known := q.throughput.perSecond(now, true)
	if classOf(now, j) != classLate {
		if inTime == 0 {
			return 0, true
		}
		if wait := seconds(inTime / perSecond); !known || !j.Late(now.Add(wait)) {
			return wait, known
		}
	}
	if inTime+late == 0 {
		return 0, true
	}
	return seconds((inTime + late) / perSecond), known
}

// workAhead returns the work of the waiting jobs that are to be placed before a job: inTime in any case, and late in addition
// if the job is late.
func (q *Queue) workAhead(now time.Time, j *Job) (inTime, late float64) {
	for _, w := range q.waiting {
		switch {
		case w.Job.Tier > j.Tier:
		case w.Job.Tier < j.Tier:
			inTime += w.work()
		case w.Job.Late(now) && !w.Job.Resumed:
			if w.Job.Returned() || !j.Returned() {
				late += w.work()
			}
		case w.Job.RouteTier <= j.RouteTier || j.Late(now):
			inTime += w.work()
		}
	}
	return inTime, late
}

// groupKey identifies the jobs of one tier and class.
type groupKey struct {
	tier  int
	class queueClass
}

// compare returns the order of two groups.
func (k groupKey) compare(o groupKey) int {
	return cmp.Or(cmp.Compare(k.tier, o.tier), cmp.Compare(k.class, o.class))
}

// groups returns the waiting jobs by tier and class.
func (q *Queue) groups(now time.Time) map[groupKey][]*Waiting {
	groups := map[groupKey][]*Waiting{}
	for _, w := range q.waiting {
		key := groupKey{tier: w.Job.Tier, class: classOf(now, w.Job)}
		groups[key] = append(groups[key], w)
	}
	return groups
}

// teamsOverShare returns the teams whose running work is above the mean of the teams with waiting jobs.
func (q *Queue) teamsOverShare(running func(team string) int) map[string]bool {
	work, sum := map[string]int{}, 0
	for _, w := range q.waiting {
		if _, known := work[w.Job.Team]; !known {
			work[w.Job.Team] = running(w.Job.Team)
			sum += work[w.Job.Team]
		}
	}
	over := map[string]bool{}
	for team, own := range work {
		if own*len(work) > sum {
			over[team] = true
		}
	}
	return over
}

// before reports whether job a is to be placed before job b of the same tier and class.
func before(class queueClass, overShare map[string]bool, a, b *Waiting) bool {
	if ra, rb := a.Job.Returned(), b.Job.Returned(); ra != rb {
		return ra
	}
	if class == classLate {
		if !a.PlaceBy.Equal(b.PlaceBy) {
			return a.PlaceBy.Before(b.PlaceBy)
		}
		return a.seq < b.seq
	}
	if a.Job.RouteTier != b.Job.RouteTier {
		return a.Job.RouteTier < b.Job.RouteTier
	}
	if oa, ob := overShare[a.Job.Team], overShare[b.Job.Team]; oa != ob {
		return ob
	}
	if la, lb := a.Job.Objective.Add(-a.Job.FirstEvent), b.Job.Objective.Add(-b.Job.FirstEvent); !la.Equal(lb) {
		return la.Before(lb)
	}
	return a.seq < b.seq
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return milliseconds(min(s, math.MaxInt32) * 1000) }
