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

// withFinishBy returns the schedule with another time from which on no request is accepted.
func (p *stopPlan) withFinishBy(t time.Time) *stopPlan {
	next := *p
	next.finishBy = t
	return &next
}

// accept decides whether a request can be expected to end in time if it begins now. The recent durations of its route are d;
// usual describes those that are comparable to what the request has before it.
//
// Until acceptAny, one that may be repeated is accepted on even odds, since its caller would be sent here again. Later, a
// streamed answer must be bounded by its size or its time limit: earlier streams of its route may be shorter, and once it has
// begun, its caller can no longer be told to go elsewhere.
func (p *stopPlan) accept(now time.Time, r stopRequest, d routeSummary, usual durationSummary) acceptance {
	left := p.finishBy.Sub(now)
	bound, bounded := d.streamBound(r.maxEvents)
	fits := usual.longest <= left
	switch {
	case left <= 0:
		return refusedByStop
	case !r.deadline.After(p.finishBy):
		return acceptedByTimeLimit
	case r.streamed && bounded && bound <= left:
		return acceptedBySize
	case r.received.After(p.acceptAny):
		fits = !r.streamed && usual.known && max(usual.bound(), d.running+durationSlack) <= left
	case !usual.known && !now.After(p.acceptAny):
		return acceptedUnknown
	case !usual.known:
		fits = false
	case r.repeatable:
		fits = usual.median <= left
	}
	if !fits {
		return refusedByStop
	}
	return acceptedByHistory
}
