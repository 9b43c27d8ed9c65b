package instance

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
)

// observeOutcome adds the outcome of a request to the analysis of its route's rollout, and rolls the rollout back if
// the new version is bad; it must be called with mu held.
func (h *home) observeOutcome(now time.Time, run startedRequest, o pool.Outcome) {
	ro := h.rollouts[run.ask.Route]
	if ro == nil || ro.versionBlocked || !reflectsVersion(o) {
		return
	}
	s := rollout.Sample{
		Version: run.permit.Version, OK: o.Result == pool.OK, FirstToken: o.FirstToken, InterToken: o.InterToken, LoadBucket: run.loadBucket,
	}
	if run.coldStart {
		s.FirstToken, s.InterToken = 0, 0 // Every version is slow during a cold start.
	}
	v := ro.analyzer.Observe(now, s)
	if v.Decision == rollout.Bad {
		h.rollBack(ro, v.Reason)
	}
}

// rollBack sets the rollback mark of a rollout, which works without the store, and blocks its version; it must be
// called with mu held.
func (h *home) rollBack(ro *routeRollout, reason string) {
	h.inst.marks.Add(ro.record.ID)
	h.blockVersion(ro, reason)
}

// reflectsVersion reports whether an outcome is evidence about the version that ran the request. Caller errors,
// cancellations and unused permits are not.
func reflectsVersion(o pool.Outcome) bool {
	switch {
	case o.PermitUnused, o.Result == pool.Cancelled:
		return false
	case o.Status >= 400 && o.Status < 500:
		return false
	}
	return true
}
