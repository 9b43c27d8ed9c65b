package rollout

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/operator"
)

// Advance returns the record after a verdict and whether it changed: it may advance by one step, become done, or be rolled
// back. It advances when the verdict is good for the record's current step and the schedule permits it. A step whose time
// has passed ends as soon as its evidence suffices, so a rollout that lacked evidence catches up. Without enough evidence
// the share stays the same, before the deadline and after it.
func Advance(now time.Time, r Record, v Verdict) (Record, bool) {
	if !r.InProgress() {
		return r, false
	}
	if v.Decision == Bad {
		return RollBack(now, r, v.Reason)
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
	return r.with(now, AdvancedEvent, fmt.Sprintf("%.0f %% after %d answers", 100*r.Share, v.Samples)), true
}

// RollBack returns the record of a rollout after its rollback and whether it changed. It applies to any open record and so
// prevails over a concurrent advance: the caller whose compare-and-swap fails reads the record and applies RollBack again.
func RollBack(now time.Time, r Record, reason string) (Record, bool) {
	if !r.InProgress() {
		return r, false
	}
	r.State, r.Reason, r.Share = RolledBack, reason, 0
	return r.with(now, RolledBackEvent, reason), true
}

// MarkLate returns the record with the state Late once its deadline has passed, and whether it changed. A late rollout
// keeps its share and still advances step by step, as soon as the evidence of a step suffices.
func MarkLate(now time.Time, r Record) (Record, bool) {
	if r.State != Running || now.Before(r.Deadline) {
		return r, false
	}
	r.State = Late
	return r.with(now, LateEvent, fmt.Sprintf("at %.0f %% at the deadline", 100*r.Share)), true
}

// Reschedule returns the record with the canary share, start and deadline of a newer document, and whether it changed. The
// step becomes the last one whose share does not exceed the current share, so only a larger canary share raises the share.
func Reschedule(now time.Time, r Record, o operator.Rollout) (Record, bool) {
	same := r.Canary == o.CanaryShare && r.Start.Equal(o.Start) && r.Deadline.Equal(o.Deadline)
	if same || !r.InProgress() || r.ID != o.ID || r.To != o.To {
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
