package placement

import (
	"cmp"
	"slices"
	"time"
)

// Waiting is a job in a queue.
type Waiting struct {
	Job     *Job
	PlaceBy time.Time // Time at which the job is refused if it has not been placed.
	seq     uint64    // Position in the order of arrival.
	placed  bool      // The job was placed by the current call of Place.
}

// Queue holds the jobs of one service that wait for room, in the order in which they are to be placed: by tier; within a
// tier by class, so that a late job does not displace one that can still meet its objective. Within a class, jobs of callers
// that were refused before go first. Then those that can meet their objective are ordered by the tier of the route, by
// whether their team has more running work than the mean of the waiting teams, and by the time by which they must begin;
// late ones by the time at which their callers leave.
type Queue struct {
	tiers      []*tierQueue // In the order of the tiers.
	len        int
	teams      map[string]int // Number of waiting jobs by team.
	nextExpiry time.Time      // No job expires before it.
	lastSeq    uint64
	refusals   uint64     // Number of refusals that named a time, which spreads these times.
	throughput throughput // Of the work, in seconds, of the jobs placed from the queue.
}

// Len returns the number of waiting jobs.
func (q *Queue) Len() int { return q.len }

// Add appends a job.
func (q *Queue) Add(now time.Time, w *Waiting) {
	t := q.tier(w.Job.Tier)
	q.throughput.observe(now, 0, q.len > 0)
	for _, other := range q.tiers {
		other.arrivals.observe(now, 0, q.len > 0)
	}
	t.arrivals.observe(now, jobWork(w.Job), false)
	if q.len == 0 || w.PlaceBy.Before(q.nextExpiry) {
		q.nextExpiry = w.PlaceBy
	}
	if q.teams == nil {
		q.teams = map[string]int{}
	}
	q.lastSeq++
	w.seq = q.lastSeq
	t.waiting = append(t.waiting, w)
	t.work += jobWork(w.Job)
	q.teams[w.Job.Team]++
	q.len++
}

// Remove removes a job and reports whether it was in the queue.
func (q *Queue) Remove(w *Waiting) bool {
	removed := false
	q.removeFrom(q.tier(w.Job.Tier), func(other *Waiting) bool {
		removed = removed || other == w
		return other == w
	})
	return removed
}

// Place calls try for the waiting jobs in order and removes those that try reports as placed. It stops when try reports
// that it wants no more. running returns the predicted work, in milliseconds, of the running jobs of a team.
func (q *Queue) Place(now time.Time, running func(team string) int, try func(*Waiting) (placed, more bool)) {
	if q.len == 0 {
		return
	}
	work := 0.0
	defer func() {
		q.throughput.observe(now, work, true)
		for _, t := range q.tiers {
			t.arrivals.observe(now, 0, true)
		}
	}()
	overShare := q.teamsOverShare(running)
	for _, t := range q.tiers {
		if len(t.waiting) == 0 {
			continue
		}
		placed, more := t.place(now, overShare, try)
		if placed > 0 {
			work += placed
			q.removeFrom(t, func(w *Waiting) bool { return w.placed })
		}
		if !more {
			return
		}
	}
}

// MaxQueueDepth returns the largest number of requests beyond its slots that any waiting job allows at a backend server.
func (q *Queue) MaxQueueDepth(now time.Time) int {
	depth := 0
	for _, t := range q.tiers {
		for _, w := range t.waiting {
			if depth >= maxServerQueue-max(0, t.tier) {
				break // No further job of the tier allows more.
			}
			depth = max(depth, w.Job.MaxQueueDepth(now))
		}
	}
	return depth
}

// RemoveExpired removes and returns the jobs that have waited until their limit.
func (q *Queue) RemoveExpired(now time.Time) []*Waiting {
	if q.len == 0 || now.Before(q.nextExpiry) {
		return nil
	}
	var expired []*Waiting
	q.nextExpiry = time.Time{}
	for _, t := range q.tiers {
		q.removeFrom(t, func(w *Waiting) bool {
			if !now.Before(w.PlaceBy) {
				expired = append(expired, w)
				return true
			}
			if q.nextExpiry.IsZero() || w.PlaceBy.Before(q.nextExpiry) {
				q.nextExpiry = w.PlaceBy
			}
			return false
		})
	}
	return expired
}

// removeFrom removes the jobs of a tier that match.
func (q *Queue) removeFrom(t *tierQueue, match func(*Waiting) bool) {
	before := len(t.waiting)
	t.waiting = slices.DeleteFunc(t.waiting, func(w *Waiting) bool {
		if !match(w) {
			return false
		}
		t.work -= jobWork(w.Job)
		if q.teams[w.Job.Team]--; q.teams[w.Job.Team] <= 0 {
			delete(q.teams, w.Job.Team)
		}
		return true
	})
	q.len -= before - len(t.waiting)
	if len(t.waiting) == 0 {
		t.work = 0 // Rounding errors do not add up.
	}
}

// tier returns the queue of a tier and creates it if necessary.
func (q *Queue) tier(tier int) *tierQueue {
	i, found := slices.BinarySearchFunc(q.tiers, tier, func(t *tierQueue, tier int) int { return cmp.Compare(t.tier, tier) })
	if !found {
		q.tiers = slices.Insert(q.tiers, i, &tierQueue{tier: tier})
	}
	return q.tiers[i]
}

// teamsOverShare returns the teams whose running work is above the mean of the teams with waiting jobs.
func (q *Queue) teamsOverShare(running func(team string) int) map[string]bool {
	if len(q.teams) < 2 {
		return nil
	}
	work, sum := make(map[string]int, len(q.teams)), 0
	for team := range q.teams {
		work[team] = running(team)
		sum += work[team]
	}
	over := map[string]bool{}
	for team, own := range work {
		if own*len(work) > sum {
			over[team] = true
		}
	}
	return over
}
