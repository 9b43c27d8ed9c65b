package rollout

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/operator"
)

// Advance returns the record after a verdict and whether it changed: one step further, done, or taken back. It goes one
// step further when the verdict is good for the record's own step and the schedule allows it. A step that the schedule
// has already passed goes on as soon as its evidence suffices, so a rollout that waited for evidence catches up. Without
// evidence the share is held, before the deadline and after it.
func Advance(now time.Time, r Record, v Verdict) (Record, bool) {
	if !r.Open() {
		return r, false
	}
	if v.Decision == Bad {
		return TakeBack(now, r, v.Reason)
	}
	plan := r.Plan()
	if v.Decision != Good || v.Step != r.Step || !plan.Due(now, r.Step) {
		return r, false
	}
	if r.Step == plan.Steps()-1 {
		r.State = Done
		return r.with(now, DoneEvent, fmt.Sprintf("%s serves all requests", r.To)), true
	}
	r.Step++
	r.Share = plan.Share(now, r.Step)
	return r.with(now, AdvancedEvent, fmt.Sprintf("%.0f %% after %d answers", 100*r.Share, v.Seen)), true
}

// TakeBack returns the record of a rollout that is taken back and whether it changed. It applies to any open record, so
// it wins over an advance written meanwhile: the loser of the compare-and-swap reads the record and applies it again.
func TakeBack(now time.Time, r Record, reason string) (Record, bool) {
	if !r.Open() {
		return r, false
	}
	r.State, r.Reason, r.Share = TakenBack, reason, 0
	return r.with(now, TakenBackEvent, reason), true
}

// MarkLate returns the record with the state late once its deadline has passed, and whether it changed. A late rollout
// holds its share and still advances, step by step, as soon as the evidence of a step suffices.
func MarkLate(now time.Time, r Record) (Record, bool) {
	if r.State != Running || now.Before(r.Deadline) {
		return r, false
	}
	r.State = Late
	return r.with(now, LateEvent, fmt.Sprintf("at %.0f %% at the deadline", 100*r.Share)), true
}

// Reschedule returns the record with the canary share and the window of a newer document, and whether it changed. The
// step becomes the last one whose share is not above the present one, so only a larger canary share raises it.
func Reschedule(now time.Time, r Record, o operator.Rollout) (Record, bool) {
	same := r.Canary == o.CanaryShare && r.Start.Equal(o.Start) && r.Deadline.Equal(o.Deadline)
	if same || !r.Open() || r.ID != o.ID || r.To != o.To {
		return r, false
	}
	r.Canary, r.Start, r.Deadline = o.CanaryShare, o.Start, o.Deadline
	plan, share := r.Plan(), r.Share
	r.Step = 0
	for r.Step+1 < plan.Steps() && plan.shares[r.Step+1] <= share {
		r.Step++
	}
	r.Share = plan.shares[r.Step]
	if now.Before(r.Deadline) {
		r.State = Running
	}
	return r.with(now, RescheduledEvent, fmt.Sprintf("%.0f %% of requests, deadline %s", 100*r.Share, r.Deadline.Format(time.RFC3339))), true
}
