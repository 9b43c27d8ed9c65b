package drive

import (
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// markPassedOver marks the waiting requests of higher tiers that could have used the capacity granted to r: the server
// can serve them, has not refused them, and would have answered them in time.
func (h *home) markPassedOver(r *Record, p pool.Permit) {
	now := h.sim.Clock.Now()
	for _, other := range h.waiting {
		if other.Tier < r.Tier && !other.passedOver && h.couldFinishInTime(other, r, p.Server, now) {
			other.passedOver = true
		}
	}
}

// couldFinishInTime reports whether the server, running a full batch, would have answered the request before its
// deadline if it had been granted at the given time. If displaced is not nil, r would have been granted in its place.
func (h *home) couldFinishInTime(r, displaced *Record, server string, at time.Time) bool {
	if !h.canServe(h.sim.serverByName(server), r, displaced) || slices.Contains(r.avoidServers, server) {
		return false
	}
	run := h.sim.Engines[server].Config().FullBatchDuration(r.Prompt, r.Output)
	return at.Add(run + 4*interCentreLatency + clientLatency).Before(r.deadline)
}

// countInversions counts the priority inversion, if any, that shedding r now amounts to.
func (h *home) countInversions(r *Record, reason pool.Reason) {
	if r.passedOver {
		h.sim.Counters.PassedOverInversions++
		return
	}
	lower := false
	for _, other := range h.waiting {
		lower = lower || other.Tier > r.Tier
	}
	if !lower {
		return
	}
	if reason == pool.QueueFull {
		h.sim.Counters.QueueFullInversions++
		return
	}
	for _, b := range h.cfg.Servers {
		if h.couldFinishInTime(r, nil, b.Name, r.reachedHomeAt) {
			h.sim.Counters.DeadlineInversions++
			return
		}
	}
}
