package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitingJob returns a job that arrived at start and may wait for a minute.
func waitingJob(team string, tier int, objective time.Duration) *Waiting {
	return &Waiting{
		Job:     &Job{Team: team, Tier: tier, Arrived: start, Objective: start.Add(objective)},
		PlaceBy: start.Add(time.Minute),
	}
}

// routeTierJob returns a waiting job of a tier with the given tier of its route.
func routeTierJob(tier, routeTier int) *Waiting {
	w := waitingJob("a", tier, time.Hour)
	w.Job.RouteTier = routeTier
	return w
}

// returnedJob returns a waiting job whose caller was refused before.
func returnedJob(objective time.Duration) *Waiting {
	w := waitingJob("a", 0, objective)
	w.Job = w.Job.WithReturn(start)
	return w
}

// resumedJob returns the waiting rest of a stream whose next event is late.
func resumedJob() *Waiting {
	w := waitingJob("a", 0, 0)
	w.Job.Resumed = true
	return w
}

// slowJob returns a waiting job with a predicted time to the first event.
func slowJob(objective, firstEvent time.Duration) *Waiting {
	w := waitingJob("a", 0, objective)
	w.Job.FirstEvent = firstEvent
	return w
}

// TestQueueOrder guards against placing jobs of lower tiers or route tiers, late jobs or jobs of busy teams before
// others.
func TestQueueOrder(t *testing.T) {
	tests := []struct {
		name    string
		waiting []*Waiting
		want    []int
	}{
		{"tiers", []*Waiting{waitingJob("a", 2, time.Hour), waitingJob("a", 0, time.Hour), waitingJob("a", 1, time.Hour)}, []int{1, 2, 0}},
		{"late", []*Waiting{waitingJob("a", 0, 0), waitingJob("a", 0, time.Hour)}, []int{1, 0}},
		{"late of a higher tier", []*Waiting{waitingJob("a", 1, time.Hour), waitingJob("a", 0, 0)}, []int{1, 0}},
		{"teams", []*Waiting{waitingJob("busy", 0, time.Hour), waitingJob("a", 0, time.Hour)}, []int{1, 0}},
		{"routes of one tier", []*Waiting{routeTierJob(1, 2), routeTierJob(1, 0), routeTierJob(0, 3), routeTierJob(1, 1)}, []int{2, 1, 3, 0}},
		{"returned", []*Waiting{waitingJob("a", 0, time.Hour), returnedJob(time.Hour), returnedJob(0), waitingJob("a", 0, 0)}, []int{1, 0, 2, 3}},
		{"resumed", []*Waiting{waitingJob("a", 0, time.Hour), resumedJob()}, []int{1, 0}},
		{"long first event", []*Waiting{waitingJob("a", 0, 3*time.Second), slowJob(4*time.Second, 2*time.Second)}, []int{1, 0}},
		{"late by its first event", []*Waiting{slowJob(3*time.Second, 2500*time.Millisecond), waitingJob("a", 0, time.Hour)}, []int{1, 0}},
		{"arrival", []*Waiting{waitingJob("a", 0, time.Hour), waitingJob("a", 0, time.Hour)}, []int{0, 1}},
	}
	running := func(team string) int { return map[string]int{"busy": 3}[team] }
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var q Queue
			index := map[*Waiting]int{}
			for i, w := range test.waiting {
				q.Add(start, w)
				index[w] = i
			}
			var got []int
			q.Place(start.Add(time.Second), running, func(w *Waiting) (placed, more bool) {
				got = append(got, index[w])
				return true, true
			})
			assert.DeepEqual(t, got, test.want)
			assert.Equal(t, q.Len(), 0)
		})
	}
}

// TestQueueWaitCountsOnlyJobsAhead guards against a predicted wait that counts jobs of lower tiers, and against a
// prediction without any data.
func TestQueueWaitCountsOnlyJobsAhead(t *testing.T) {
	var q Queue
	_, known := q.PredictWait(start, &Job{})
	assert.Assert(t, known)
	q.Add(start, waitingJob("a", 2, time.Hour))
	wait, known := q.PredictWait(start, &Job{})
	assert.Assert(t, known)
	assert.Equal(t, wait, time.Duration(0))
	_, known = q.PredictWait(start, &Job{Tier: 2})
	assert.Assert(t, !known)
	for range 204 {
		q.Add(start, waitingJob("a", 1, time.Hour))
	}
	now := start
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		serveOne(&q, now)
	}
	wait, known = q.PredictWait(now, &Job{Tier: 1, RouteTier: -1, Objective: now.Add(time.Hour)})
	assert.Assert(t, known)
	assert.Equal(t, wait, time.Duration(0))
	wait, known = q.PredictWait(now, &Job{Tier: 2})
	assert.Assert(t, known)
	// 5 jobs are ahead and 100 per second were placed.
	assert.Assert(t, wait > 49*time.Millisecond && wait < 51*time.Millisecond, "%v", wait)
}

// TestQueueKeepsUnplacedJobs guards against losing jobs, or offering more of them, once there is no more room.
func TestQueueKeepsUnplacedJobs(t *testing.T) {
	var q Queue
	for tier := range 4 {
		q.Add(start, waitingJob("a", tier, time.Hour))
	}
	offered := 0
	q.Place(start, func(string) int { return 0 }, func(w *Waiting) (bool, bool) {
		offered++
		assert.Equal(t, w.Job.Tier, offered-1)
		return offered != 2, offered < 3
	})
	assert.Equal(t, offered, 3)
	assert.Equal(t, q.Len(), 2)
	var remaining []int
	q.Place(start, func(string) int { return 0 }, func(w *Waiting) (bool, bool) {
		remaining = append(remaining, w.Job.Tier)
		return true, true
	})
	assert.DeepEqual(t, remaining, []int{1, 3})
}

// TestQueueExpired guards against jobs that wait beyond their limit.
func TestQueueExpired(t *testing.T) {
	var q Queue
	early, late := waitingJob("a", 0, 0), waitingJob("a", 0, 0)
	early.PlaceBy = start.Add(time.Second)
	q.Add(start, early)
	q.Add(start, late)
	assert.DeepEqual(t, len(q.RemoveExpired(start)), 0)
	out := q.RemoveExpired(start.Add(time.Second))
	assert.Assert(t, len(out) == 1 && out[0] == early)
	assert.Assert(t, q.Remove(late))
	assert.Assert(t, !q.Remove(late))
}
