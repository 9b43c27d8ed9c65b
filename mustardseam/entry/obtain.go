package entry

import (
	"context"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/place"
)

// Obtain waits until a backend server of a service has room for a job; the error is a *place.Refusal, or the cause of the
// end of the context.
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
	if r := q.Refuse(now, j); r != nil {
		s.mu.Unlock()
		return nil, r
	}
	granted := make(chan *Grant, 1)
	w := &place.Waiting{Job: j, Until: j.Until()}
	q.Add(w)
	s.grants[w] = granted
	s.keepPumping()
	s.mu.Unlock()
	select {
	case g := <-granted:
		if g == nil {
			return nil, s.giveUp(service, j)
		}
		return g, nil
	case <-ctx.Done():
		return nil, s.withdraw(ctx, service, w, granted)
	}
}

// giveUp returns the refusal of a job that waited in vain.
func (s *Scheduler) giveUp(service string, j *place.Job) *place.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue(service).GiveUp(time.Now(), j)
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
