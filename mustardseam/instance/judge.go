package instance

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
)

// judge feeds the outcome of a request to the rollout of its route; it must be called with mu held.
func (h *home) judge(now time.Time, run running, o pool.Outcome) {
	m := h.moves[run.ask.Route]
	if m == nil || m.blocked || !evidence(o) {
		return
	}
	s := rollout.Sample{
		Version: run.permit.Version, OK: o.Result == pool.OK, FirstToken: o.FirstToken, InterToken: o.InterToken, LoadBucket: run.load,
	}
	if run.cold {
		s.FirstToken, s.InterToken = 0, 0 // A cold start is slow in every version.
	}
	v := m.judge.Observe(now, s)
	if v.Decision == rollout.Bad {
		h.takeBack(m, v.Reason)
	}
}

// takeBack sets the mark of a rollout, which no store is needed for; it must be called with mu held.
func (h *home) takeBack(m *move, reason string) {
	h.inst.marks.Add(m.record.ID)
	h.block(m, reason)
}

// evidence reports whether the outcome says something of the version that ran the request: a caller's mistake or a
// permit that was not used does not.
func evidence(o pool.Outcome) bool {
	switch {
	case o.PermitUnused, o.Result == pool.Cancelled:
		return false
	case o.Status >= 400 && o.Status < 500:
		return false
	}
	return true
}
