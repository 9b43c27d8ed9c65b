package placement

import (
	"container/heap"
	"slices"
	"time"
)

// Waiting is a job in a queue.
type Waiting struct {
	Job     *Job
	PlaceBy time.Time // Time at which the job is refused if it has not been placed.
	seq     uint64    // Position in the order of arrival.
}

// Queue holds the jobs of one service that wait for room, in the order in which they are to be placed: by tier;
// within a tier those that can still meet their objective before those that are late; then by the tier of the route;
// then by the number of running requests of their team, fewest first; then by arrival.
type Queue struct {
	waiting    []*Waiting
	lastSeq    uint64
	throughput throughput // Of the jobs placed from the queue.
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
// that it wants no more.
func (q *Queue) Place(now time.Time, running func(team string) int, try func(*Waiting) (placed, more bool)) {
	if len(q.waiting) == 0 {
		return
	}
	defer func(before int) { q.throughput.observe(now, before-len(q.waiting), true) }(len(q.waiting))
	// Usually only a few jobs are placed before there is no room left, so a heap is cheaper than sorting all jobs.
	h := &waitingHeap{
		waiting: slices.Clone(q.waiting),
		before:  func(a, b *Waiting) bool { return q.before(now, running, a, b) },
	}
	heap.Init(h)
	removed := map[*Waiting]bool{}
	for more := true; more && h.Len() > 0; {
		w := heap.Pop(h).(*Waiting)
		var placed bool
		if placed, more = try(w); placed {
			removed[w] = true
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiting) bool { return removed[w] })
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

// PredictWait predicts how long a job would wait behind the jobs of higher tiers and those of its own tier whose route
// has the same or a higher tier. It returns 0 if there are none, and false if too little is known of the rate at which
// waiting jobs are placed.
func (q *Queue) PredictWait(now time.Time, j *Job) (time.Duration, bool) {
	ahead := q.countAhead(j)
	if ahead == 0 {
		return 0, true
	}
	perSecond, ok := q.throughput.perSecond(now, true)
	if !ok {
		return 0, false
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second)), true
}

// countAhead returns the number of waiting jobs that are to be placed before a job.
func (q *Queue) countAhead(j *Job) int {
	ahead := 0
	for _, w := range q.waiting {
		if w.Job.Tier < j.Tier || w.Job.Tier == j.Tier && w.Job.RouteTier <= j.RouteTier {
			ahead++
		}
	}
	return ahead
}

// before reports whether job a is to be placed before job b.
func (q *Queue) before(now time.Time, running func(string) int, a, b *Waiting) bool {
	if a.Job.Tier != b.Job.Tier {
		return a.Job.Tier < b.Job.Tier
	}
	if la, lb := now.After(a.Job.Objective), now.After(b.Job.Objective); la != lb {
		return lb
	}
	if a.Job.RouteTier != b.Job.RouteTier {
		return a.Job.RouteTier < b.Job.RouteTier
	}
	if ra, rb := running(a.Job.Team), running(b.Job.Team); ra != rb {
		return ra < rb
	}
	return a.seq < b.seq
}
