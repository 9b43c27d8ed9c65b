package entry

import (
	"context"
	"sync/atomic"
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
}

// beginWait records that the request waits for a backend server. It returns false if the request was withdrawn.
func (r *pendingRequest) beginWait() bool { return r.phase.CompareAndSwap(phaseSent, phaseWaiting) }

// beginSend records that the request is about to be sent. It returns false if the request was withdrawn.
func (r *pendingRequest) beginSend() bool { return r.phase.CompareAndSwap(phaseWaiting, phaseSent) }

// withdraw ends the wait of the request, if it waits.
func (r *pendingRequest) withdraw() {
	if r.phase.CompareAndSwap(phaseWaiting, phaseWithdrawn) {
		r.cancel(errStopping)
	}
}
