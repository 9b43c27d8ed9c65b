package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// eventTimeout is the shortest pause within a stream after which the stream is moved to another backend server.
	eventTimeout = 1200 * time.Millisecond
	// minFirstEventTimeout and firstEventTimeoutFactor set the timeout of the first event: the factor times the predicted time,
	// but at least the minimum. A backend server that works through its queue has not stalled.
	minFirstEventTimeout    = 1800 * time.Millisecond
	firstEventTimeoutFactor = 5
)

// errStalled is the cancellation cause of an attempt at a backend server that has stalled.
var errStalled = errors.New("backend server has stalled")

// stallTimer cancels an attempt at a backend server that has stalled, if the request can continue elsewhere.
type stallTimer struct {
	mu sync.Mutex
	// timer is nil when the attempt is not watched; guarded by mu, as are the fields below.
	timer        *time.Timer
	lastEvent    time.Time     // Time of the latest event, or of the start of the attempt.
	timeout      time.Duration // Longest accepted time without an event.
	retryCharged bool          // The retry was taken from the budget.
}

// watchForStall starts a stall timer for an attempt; only streams that may be repeated are watched.
func (i *Instance) watchForStall(req *request, g *Grant, cancel context.CancelCauseFunc) *stallTimer {
	t := &stallTimer{lastEvent: time.Now(), timeout: max(minFirstEventTimeout, firstEventTimeoutFactor*g.PredictedFirstEvent)}
	if req.route.Kind != fleet.Stream || !req.route.Repeatable() || req.runs+1 >= max(1, req.route.Attempts) {
		return t
	}
	var check func()
	check = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.timer == nil {
			return
		}
		since := t.lastEvent
		if left := time.Until(since.Add(t.timeout)); left > 0 {
			t.timer.Reset(left)
			return
		}
		if i.scheduler.LastAnswer(g).After(since) {
			// It answers other requests; this one is in its queue.
			t.timer.Reset(t.timeout / 2)
			return
		}
		if !i.scheduler.canMove(g) || !i.scheduler.TakeRetry(req.service) {
			// Without a retry in the budget or a free slot the request cannot move; it may still be answered here.
			t.timer.Reset(t.timeout / 2)
			return
		}
		t.retryCharged = true
		cancel(errStalled)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.timeout, check)
	return t
}

// eventReceived records an event.
func (t *stallTimer) eventReceived(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastEvent = now
	t.timeout = eventTimeout
}

// stop stops the timer and reports whether the retry of the request was taken from the budget.
func (t *stallTimer) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
	return t.retryCharged
}
