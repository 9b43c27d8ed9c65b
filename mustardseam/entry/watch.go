package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// silenceLeast is the shortest silence after which a stream is sent elsewhere.
	silenceLeast = 1200 * time.Millisecond
	// silenceFactor is how many times the predicted wait a first event may take.
	silenceFactor = 4
)

// errSilent is the cause of the end of a try at a backend server that shows no sign of life.
var errSilent = errors.New("backend server is silent")

// watch ends a try at a backend server that is silent for too long, where the request may go on elsewhere.
type watch struct {
	mu     sync.Mutex
	timer  *time.Timer // Guarded by mu; nil when nothing is watched.
	latest time.Time   // Of the latest sign of life; guarded by mu.
	limit  time.Duration
}

// watch starts to watch a try; only streams that may be repeated are watched.
func (i *Instance) watch(a *attempt, g *Grant, cancel context.CancelCauseFunc) *watch {
	w := &watch{latest: time.Now(), limit: max(silenceLeast, silenceFactor*g.First)}
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

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
