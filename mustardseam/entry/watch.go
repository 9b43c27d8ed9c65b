package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// silenceLeast is the shortest silence inside a stream after which it is sent elsewhere.
	silenceLeast = 1200 * time.Millisecond
	// firstLeast and firstFactor bound the wait for a first event: a backend server that works off its queue is not silent.
	firstLeast  = 1800 * time.Millisecond
	firstFactor = 5
)

// errSilent is the cause of the end of a try at a backend server that shows no sign of life.
var errSilent = errors.New("backend server is silent")

// watch ends a try at a backend server that is silent for too long, where the request may go on elsewhere.
type watch struct {
	mu     sync.Mutex
	timer  *time.Timer // Guarded by mu; nil when nothing is watched.
	latest time.Time   // Of the latest sign of life; guarded by mu.
	limit  time.Duration
	paid   bool // The retry was taken from the budget; guarded by mu.
}

// watch starts to watch a try; only streams that may be repeated are watched.
func (i *Instance) watch(a *attempt, g *Grant, cancel context.CancelCauseFunc) *watch {
	w := &watch{latest: time.Now(), limit: max(firstLeast, firstFactor*g.First)}
	if a.route.Kind != fleet.Stream || !a.route.Repeatable() || a.runs+1 >= max(1, a.route.Attempts) {
		return w
	}
	var check func()
	check = func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.timer == nil {
			return
		}
		since := w.latest
		if left := time.Until(since.Add(w.limit)); left > 0 {
			w.timer.Reset(left)
			return
		}
		if i.scheduler.Answered(g).After(since) {
			// It works for others; the request waits its turn.
			w.timer.Reset(w.limit / 2)
			return
		}
		if !i.scheduler.elsewhere(g) || !i.scheduler.Retry(a.service) {
			// Without a retry and a place the request has nowhere to go; it may still be answered.
			w.timer.Reset(w.limit / 2)
			return
		}
		w.paid = true
		cancel(errSilent)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.limit, check)
	return w
}

// seen records an event.
func (w *watch) seen(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.latest = now
	w.limit = silenceLeast
}

// stop ends the watch and reports whether the retry of the request was taken from the budget.
func (w *watch) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
	return w.paid
}
