package entry

import (
	"context"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/place"
)

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
)

// Obtain waits until a backend server of a service has room for a job; the error is a *Refusal, or the cause of the end
// of the context.
func (s *Scheduler) Obtain(ctx context.Context, service string, j *place.Job) (*Grant, error) {
	now := time.Now()
	s.mu.Lock()
	q := s.queue(service)
	// Those that wait go first, unless this job goes before all of them.
	if wait, known := q.Wait(now, j); known && wait == 0 {
		if g := s.place(now, service, j, false); g != nil {
			s.mu.Unlock()
			return g, nil
		}
	}
	until := j.Arrived.Add(patience(j))
	if r := s.hopeless(now, q, j, until); r != nil {
		s.mu.Unlock()
		return nil, r
	}
	granted := make(chan *Grant, 1)
	w := &place.Waiting{Job: j, Until: until}
	q.Add(w)
	s.grants[w] = granted
	s.keepPumping()
	s.mu.Unlock()
	select {
	case g := <-granted:
		if g == nil {
			return nil, &Refusal{Reason: "no backend server had room in time", After: s.comeBack(service, j)}
		}
		return g, nil
	case <-ctx.Done():
		return nil, s.withdraw(ctx, service, w, granted)
	}
}

// withdraw takes back a job that waits and returns the cause.
func (s *Scheduler) withdraw(ctx context.Context, service string, w *place.Waiting, granted <-chan *Grant) error {
	s.mu.Lock()
	removed := s.queue(service).Remove(w)
	delete(s.grants, w)
	s.mu.Unlock()
	if !removed {
		if g := <-granted; g != nil {
			s.Finish(g, place.Outcome{Left: true})
		}
	}
	return context.Cause(ctx)
}

// hopeless returns a refusal when a job would wait for longer than its caller is willing to.
func (s *Scheduler) hopeless(now time.Time, q *place.Queue, j *place.Job, until time.Time) *Refusal {
	if !until.After(now) {
		return &Refusal{Reason: "time for placing is over", After: s.bounded(now, j, leastReturn)}
	}
	wait, known := q.Wait(now, j)
	if !known || now.Add(wait).Before(until) {
		return nil
	}
	return &Refusal{Reason: "too much waits already", After: s.bounded(now, j, wait)}
}

// comeBack returns when a caller that waited in vain is to try again.
func (s *Scheduler) comeBack(service string, j *place.Job) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	wait, known := s.queue(service).Wait(now, j)
	if !known {
		wait = leastReturn
	}
	// It has waited in vain, so the load is no short peak.
	return s.bounded(now, j, max(wait, now.Sub(j.Arrived)))
}

// bounded keeps the time after which a caller comes back within what callers follow.
func (s *Scheduler) bounded(now time.Time, j *place.Job, after time.Duration) time.Duration {
	left := time.Duration(float64(j.Deadline.Sub(now)) * returnPart)
	return max(0, min(max(after, leastReturn), left))
}

// patience returns how long a job may wait for a place.
func patience(j *place.Job) time.Duration {
	limit := j.Deadline.Sub(j.Arrived)
	if j.Gap > 0 {
		limit = min(limit, max(leastPatience, objectivePatience*j.Objective.Sub(j.Arrived), gapPatience*j.Gap))
	}
	return time.Duration(waitPart * float64(limit))
}
