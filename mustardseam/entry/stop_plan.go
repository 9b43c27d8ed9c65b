package entry

import (
	"errors"
	"time"
)

const (
	// unlistDelay is how long after the stop signal callers may still be sent to this instance: two readiness checks, 1 s
	// apart, and the time until they take effect.
	unlistDelay = 2500 * time.Millisecond
	// acceptTime is how long after the stop signal requests are accepted of which it is not known that they end in time.
	// Callers that follow the load balancer have left by then.
	acceptTime = unlistDelay + 400*time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the end of the process: open exchanges with other
	// instances and the last log lines may take 300 ms.
	exitMargin = 500 * time.Millisecond
	// answerMargin is the time before exitMargin in which the requests that have not ended get their final answer.
	answerMargin = 100 * time.Millisecond
)

// errStopping is the cancellation cause of a request that cannot end before the instance does.
var errStopping = errors.New("instance stops")

// stopPlan is the schedule of a planned stop; it is immutable.
type stopPlan struct {
	start     time.Time // The stop signal arrived.
	closeIdle time.Time // Idle connections of callers are closed.
	acceptAny time.Time // Until then, requests are accepted that may not end in time.
	finishBy  time.Time // Requests that have not ended get their final answer.
	end       time.Time // The process begins to exit.
}

// newStopPlan returns the schedule of a stop that may take the grace period.
func newStopPlan(start time.Time, grace time.Duration) *stopPlan {
	end := start.Add(grace - min(exitMargin, grace/8))
	return &stopPlan{
		start:     start,
		closeIdle: start.Add(min(unlistDelay, grace/2)), acceptAny: start.Add(min(acceptTime, grace/2)),
		finishBy: end.Add(-min(answerMargin, grace/40)), end: end,
	}
}

// acceptance is the reason for which a stopping instance accepts a request; it is empty if the request is refused.
type acceptance string

const (
	refusedByStop       acceptance = ""
	acceptedByTimeLimit acceptance = "time-limit" // The request ends at its deadline, which is early enough.
	acceptedByHistory   acceptance = "history"    // Similar requests took less time than is left.
	acceptedUnknown     acceptance = "unknown"    // Nothing is known of similar requests, and callers are still sent here.
)

// accept decides whether a request that ends at its deadline, at the latest, can be expected to end in time if it begins now;
// usual describes the durations of earlier ones. Until acceptAny, one that may be repeated is accepted on even odds, since its
// caller would be sent here again.
func (p *stopPlan) accept(now, received, deadline time.Time, repeatable bool, usual durationSummary) acceptance {
	left := p.finishBy.Sub(now)
	fits := usual.longest <= left
	switch {
	case !deadline.After(p.finishBy):
		return acceptedByTimeLimit
	case received.After(p.acceptAny):
		fits = usual.known && usual.bound() <= left
	case !usual.known && !now.After(p.acceptAny):
		return acceptedUnknown
	case !usual.known:
		fits = false
	case repeatable:
		fits = usual.median <= left
	}
	if !fits {
		return refusedByStop
	}
	return acceptedByHistory
}
