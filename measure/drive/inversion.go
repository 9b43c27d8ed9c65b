package drive

import (
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// pass marks the waiting requests of higher tiers that could have used the capacity that r has got: the server serves
// them, has not refused them, and would have answered them in time.
func (h *home) pass(r *Record, p pool.Permit) {
	now := h.w.Clock.Now()
	for _, other := range h.waiting {
		if other.Tier < r.Tier && !other.passed && h.inTime(other, r, p.Server, now) {
			other.passed = true
		}
	}
}

// inTime reports whether the server would have answered the request before its deadline in a full batch, when it was
// granted at the given time, in place of another one if that is not nil.
func (h *home) inTime(r, instead *Record, server string, at time.Time) bool {
	if !h.serves(h.w.server(server), r, instead) || slices.Contains(r.avoid, server) {
		return false
	}
	run := h.w.Engines[server].Config().Duration(r.Prompt, r.Output)
	return at.Add(run + 4*betweenCentres + toClient).Before(r.deadline)
}

// judge counts the inversions that lie in shedding r now.
func (h *home) judge(r *Record, reason pool.Reason) {
	if r.passed {
		h.w.Tally.PassInversions++
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
		h.w.Tally.QueueInversions++
		return
	}
	for _, b := range h.cfg.Servers {
		if h.inTime(r, nil, b.Name, r.atHome) {
			h.w.Tally.WaitInversions++
			return
		}
	}
}
