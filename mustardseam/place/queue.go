package place

import (
	"container/heap"
	"slices"
	"time"
)

// Waiting is a job in a queue.
type Waiting struct {
	Job   *Job
	Until time.Time // It is refused when it has not been placed by then.
	seq   uint64
}

// Queue holds the jobs of one service that wait for room, in the order in which they are to be placed: by tier; within a
// tier those that can still meet their objective before the late ones, then by the tier of the route, then teams with
// less running, then by arrival.
type Queue struct {
	waiting []*Waiting
	next    uint64
	placed  Rate
}

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return len(q.waiting) }

// Add lets a job wait.
func (q *Queue) Add(w *Waiting) {
	q.next++
	w.seq = q.next
	q.waiting = append(q.waiting, w)
}

// Remove takes a job out; it is false when the job does not wait any more.
func (q *Queue) Remove(w *Waiting) bool {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Place offers the waiting jobs in order to try and removes those that it placed, until it wants no more.
func (q *Queue) Place(now time.Time, running func(team string) int, try func(*Waiting) (placed, more bool)) {
	if len(q.waiting) == 0 {
		return
	}
	// Mostly a few are placed before there is no room, so they are not all put in order.
	o := &order{waiting: slices.Clone(q.waiting), before: func(a, b *Waiting) bool { return q.before(now, running, a, b) }}
	heap.Init(o)
	gone := map[*Waiting]bool{}
	for more := true; more && o.Len() > 0; {
		w := heap.Pop(o).(*Waiting)
		var placed bool
		if placed, more = try(w); placed {
			gone[w] = true
			q.placed.Add(now)
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiting) bool { return gone[w] })
}

// Deepest returns how far beyond its slots any of the waiting jobs may fill a backend server.
func (q *Queue) Deepest(now time.Time) int {
	deep := 0
	for _, w := range q.waiting {
		deep = max(deep, w.Job.Deep(now))
	}
	return deep
}

// Expired removes and returns the jobs whose wait is over.
func (q *Queue) Expired(now time.Time) []*Waiting {
	var out []*Waiting
	rest := q.waiting[:0]
	for _, w := range q.waiting {
		if now.Before(w.Until) {
			rest = append(rest, w)
		} else {
			out = append(out, w)
		}
	}
	clear(q.waiting[len(rest):])
	q.waiting = rest
	return out
}

// Wait predicts how long a job would wait behind those of the same and higher ranks of its tier and of higher tiers; it is
// 0 when nothing of them waits, and false when nothing was placed lately that would tell.
func (q *Queue) Wait(now time.Time, j *Job) (time.Duration, bool) {
	ahead := 0
	for _, w := range q.waiting {
		if w.Job.Tier < j.Tier || w.Job.Tier == j.Tier && w.Job.Rank <= j.Rank {
			ahead++
		}
	}
	if ahead == 0 {
		return 0, true
	}
	perSecond := q.placed.PerSecond(now)
	if perSecond <= 0 {
		return 0, false
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second)), true
}

func (q *Queue) before(now time.Time, running func(string) int, a, b *Waiting) bool {
	if a.Job.Tier != b.Job.Tier {
		return a.Job.Tier < b.Job.Tier
	}
	if la, lb := now.After(a.Job.Objective), now.After(b.Job.Objective); la != lb {
		return lb
	}
	if a.Job.Rank != b.Job.Rank {
		return a.Job.Rank < b.Job.Rank
	}
	if ra, rb := running(a.Job.Team), running(b.Job.Team); ra != rb {
		return ra < rb
	}
	return a.seq < b.seq
}
