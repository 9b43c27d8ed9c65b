package scenario

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/measure/drive"
	"github.com/mustardseam/mustardseam/measure/figure"
	"github.com/mustardseam/mustardseam/measure/load"
	"github.com/mustardseam/mustardseam/measure/site"
)

// dataCentreMovePlan returns a plan that takes one of three data centres out of service at rated load, which exceeds
// the capacity of the others, and later brings it back cold.
func dataCentreMovePlan(uint64) plan {
	const out, back, end = 20 * time.Second, 80 * time.Second, 110 * time.Second
	const centre = "kitami"
	s := site.Tokachi()
	m := modelMix(s)
	c := capacity(s, m)
	p := plan{
		site: s, capacity: c, windowStart: out + 5*time.Second, windowEnd: back, end: end + drain,
		phases: []load.Phase{phaseAtShare(m, c, ratedLoad, 0, end), orderPhase(s, end)},
	}
	p.scheduleEvents = func(w *drive.Simulation) {
		w.Clock.At(out, func() { w.SetOutOfService(centre, true) })
		w.Clock.At(back, func() { w.SetOutOfService(centre, false) })
	}
	p.extraFigures = func(r *run) []figure.Figure {
		left := capacity(s, m, centre)
		list := []figure.Figure{
			figure.ZeroCount("work-for-taken-out-centre-after-3s", r.sim.Counters.OutOfServicePermits),
			figure.New("load-of-remaining-capacity", ratedLoad*c.Seconds()/left.Seconds(), ""),
		}
		return append(list, r.allowedGoodput(left)...)
	}
	return p
}

// allowedGoodput returns the goodput of each tier as a share of what the capacity allows after the work done for the
// higher tiers.
func (r *run) allowedGoodput(capacity time.Duration) []figure.Figure {
	var list []figure.Figure
	left := capacity.Seconds()
	for t := range timeouts {
		s := r.totals(t)
		offered := s.work.Seconds() / (r.windowEnd - r.windowStart).Seconds()
		done := r.completedPerSecond(r.windowStart, r.windowEnd, func(rec *drive.Record) float64 {
			if rec.Tier != t {
				return 0
			}
			return engineTime(rec)
		})
		share := figure.Ratio(s.workInTime.Seconds(), s.work.Seconds())
		if offered > left {
			// The tier exceeds the capacity left, so part of it must wait or be shed: compare the work done in the window.
			share = figure.Ratio(done, left)
		}
		left -= done
		list = append(list, figure.New(fmt.Sprintf("goodput-of-allowed-tier-%d", t), share, "").
			WithBound(figure.AtLeast, 0.98, figure.Targets))
	}
	return list
}
