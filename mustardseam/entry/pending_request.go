package entry

import (
	"context"
	"sync/atomic"
	"time"
)

// Phases of a pendingRequest.
const (
	phaseSent      int32 = iota // It does not wait to be sent: it has not begun to wait or is at a backend server.
	phaseWaiting                // It waits for a backend server.
	phaseWithdrawn              // It is not sent any more because the instance stops.
)

// pendingRequest is what a planned stop needs to know of a request that has no final answer yet.
type pendingRequest struct {
	stopRequest
	route  string
	cancel context.CancelCauseFunc
	phase  atomic.Int32
	waited atomic.Int64 // Time from the arrival to the latest send in nanoseconds.
}

// beginWait records that the request waits for a backend server. It returns false if the request was withdrawn.
func (r *pendingRequest) beginWait() bool { return r.phase.CompareAndSwap(phaseSent, phaseWaiting) }

// beginSend records that the request is about to be sent. It returns false if the request was withdrawn.
func (r *pendingRequest) beginSend(now time.Time) bool {
	r.waited.Store(int64(now.Sub(r.received)))
	return r.phase.CompareAndSwap(phaseWaiting, phaseSent)
}

// runTime returns how long the request has been at a backend server; 0 if it waits for one.
func (r *pendingRequest) runTime(now time.Time) time.Duration {
	waited := time.Duration(r.waited.Load())
	if r.phase.Load() != phaseSent || waited == 0 {
		return 0
	}
	return now.Sub(r.received) - waited
}

// withdraw ends the wait of the request, if it waits.
func (r *pendingRequest) withdraw() {
	if r.phase.CompareAndSwap(phaseWaiting, phaseWithdrawn) {
		r.cancel(errStopping)
	}
}
