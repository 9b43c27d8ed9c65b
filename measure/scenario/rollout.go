package scenario

import (
	"fmt"
	"sync"
	"time"

	"github.com/mustardseam/mustardseam/measure/clock"
	"github.com/mustardseam/mustardseam/measure/drive"
	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/measure/figure"
	"github.com/mustardseam/mustardseam/measure/load"
	"github.com/mustardseam/mustardseam/measure/site"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
	"github.com/mustardseam/mustardseam/operator"
)

// Parameters of tokachi-rollout: both routes to the models move to new replicas, which start cold beside the old ones.
// A canary share of 5 % gives about one request per second, so 5 minutes suffice to gather the evidence.
const (
	rolloutSeeds    = 20
	rolloutStart    = 10 * time.Second
	rolloutDuration = 300 * time.Second
	canaryShare     = 0.05
	rolloutWorkers  = 4
)

// versionKind describes a good version or one of the five kinds of bad version (design 2.5).
type versionKind struct {
	name       string
	faults     engine.Faults
	faultDelay time.Duration // Time from the start of the rollout to the fault.
}

var versionKinds = []versionKind{
	{name: "good"},
	{name: "fails-at-once", faults: engine.Faults{FailShare: 0.5}},
	{name: "slow-at-once", faults: engine.Faults{Slow: 3}},
	{name: "fails-later", faults: engine.Faults{FailShare: 0.5}, faultDelay: 100 * time.Second},
	{name: "fails-under-load", faults: engine.Faults{FailShare: 0.5, MinBatch: 5}},
	{name: "bad-on-one-route", faults: engine.Faults{FailShare: 0.5, Route: "quote-model"}},
}

// rolloutTotals counts the results of the rollouts of one or more runs.
type rolloutTotals struct {
	good, goodDone       int
	goodRolledBack       int // Good versions that were rolled back; those neither done nor rolled back were late.
	bad, badRolledBack   int
	maxBadShare          float64 // Largest share of a route's traffic that went to a bad version.
	requestsAfterVerdict int     // Requests granted to a bad version more than 2 s after the verdict.
	result               Result
}

// tokachiRollout runs every version kind with rolloutSeeds consecutive seeds, starting at the given one.
func tokachiRollout(o Options) Result {
	all := make([]rolloutTotals, len(versionKinds)*rolloutSeeds)
	var wg sync.WaitGroup
	next := make(chan int)
	for range rolloutWorkers {
		wg.Go(func() {
			for i := range next {
				seeded := o
				seeded.Seed += uint64(i / len(versionKinds))
				all[i] = runRollouts(versionKinds[i%len(versionKinds)], seeded)
			}
		})
	}
	for i := range all {
		next <- i
	}
	close(next)
	wg.Wait()
	return summarise(all)
}

// summarise combines all runs. Of the common figures, it reports only the counts that must be 0, summed over all runs;
// the series are those of the first run.
func summarise(all []rolloutTotals) Result {
	var list []figure.Figure
	var total rolloutTotals
	for k, kd := range versionKinds {
		var sum rolloutTotals
		for i := k; i < len(all); i += len(versionKinds) {
			sum = sum.plus(all[i])
		}
		total = total.plus(sum)
		if sum.good > 0 {
			list = append(list, figure.New("rolled-out-"+kd.name, figure.Ratio(float64(sum.goodDone), float64(sum.good)), ""))
		}
		if sum.bad > 0 {
			list = append(list,
				figure.New("rolled-back-"+kd.name, figure.Ratio(float64(sum.badRolledBack), float64(sum.bad)), ""),
				figure.New("bad-share-"+kd.name, sum.maxBadShare, ""))
		}
	}
	list = append(list,
		figure.New("good-versions-taken-back", float64(total.goodRolledBack), ""),
		figure.New("good-versions-late", float64(total.good-total.goodDone-total.goodRolledBack), ""),
		figure.New("good-versions-rolled-out", figure.Ratio(float64(total.goodDone), float64(total.good)), "").
			WithBound(figure.AtLeast, 0.99, figure.Targets),
		figure.New("bad-versions-rolled-back", figure.Ratio(float64(total.badRolledBack), float64(total.bad)), "").
			WithBound(figure.AtLeast, 0.99, figure.Targets),
		figure.New("bad-version-traffic", total.maxBadShare, "").WithBound(figure.AtMost, canaryShare, figure.Targets),
		figure.ZeroCount("bad-version-after-2s", total.requestsAfterVerdict))
	return Result{Figures: append(list, sumZeroBoundFigures(all)...), Series: all[0].result.Series}
}

// sumZeroBoundFigures returns the counts that must be 0, each summed over all runs.
func sumZeroBoundFigures(all []rolloutTotals) []figure.Figure {
	var list []figure.Figure
	for i, f := range all[0].result.Figures {
		if f.Relation != figure.AtMost || f.Bound != 0 {
			continue
		}
		for _, m := range all[1:] {
			f.Value += m.result.Figures[i].Value
		}
		list = append(list, f)
	}
	return list
}

func (m rolloutTotals) plus(n rolloutTotals) rolloutTotals {
	m.good, m.goodDone, m.bad, m.badRolledBack = m.good+n.good, m.goodDone+n.goodDone, m.bad+n.bad, m.badRolledBack+n.badRolledBack
	m.maxBadShare, m.requestsAfterVerdict, m.goodRolledBack = max(m.maxBadShare, n.maxBadShare), m.requestsAfterVerdict+n.requestsAfterVerdict, m.goodRolledBack+n.goodRolledBack
	return m
}

// runRollouts rolls out one kind of version on both routes and counts the results.
func runRollouts(k versionKind, o Options) rolloutTotals {
	p := rolloutPlan(k)
	var drivers []*rolloutDriver
	old := p.scheduleEvents
	p.scheduleEvents = func(w *drive.Simulation) {
		old(w)
		w.Clock.At(rolloutStart, func() {
			for _, r := range w.Document.Routes {
				if r.Rollout != nil {
					drivers = append(drivers, newRolloutDriver(w, r))
				}
			}
		})
		w.OnOutcome = func(rec *drive.Record, out pool.Outcome) {
			for _, m := range drivers {
				m.observe(rec, out)
			}
		}
	}
	r := execute(p, o)
	out := rolloutTotals{result: r.buildResult()}
	for _, m := range drivers {
		bad := k.name != "good" && (k.faults.Route == "" || k.faults.Route == m.rec.Route)
		if !bad {
			out.good++
			if m.rec.State == rollout.Done && !m.endedAt.After(m.rec.Deadline) {
				out.goodDone++
			}
			if m.rec.State == rollout.RolledBack {
				out.goodRolledBack++
			}
			continue
		}
		out.bad++
		if m.rec.State == rollout.RolledBack {
			out.badRolledBack++
		}
		share, after := r.badVersionExposure(m, k)
		out.maxBadShare, out.requestsAfterVerdict = max(out.maxBadShare, share), out.requestsAfterVerdict+after
	}
	return out
}

// badVersionExposure returns the share of the route's traffic since the start of the rollout that went to the new
// version while its fault could take effect, and the number of requests granted to it more than 2 s after the verdict.
func (r *run) badVersionExposure(m *rolloutDriver, k versionKind) (share float64, after int) {
	all, seen := 0, 0
	for _, rec := range r.sim.Records {
		if rec.Route != m.rec.Route || rec.GrantedAt.IsZero() || rec.GrantedAt.Before(m.rec.Start) {
			continue
		}
		all++
		if rec.Version != m.rec.To {
			continue
		}
		if rec.ServerLoad+1 >= k.faults.MinBatch && !rec.GrantedAt.Before(m.rec.Start.Add(k.faultDelay)) {
			seen++
		}
		if !m.markedBadAt.IsZero() && rec.GrantedAt.After(m.markedBadAt.Add(2*time.Second)) {
			after++
		}
	}
	return figure.Ratio(float64(seen), float64(all)), after
}

// rolloutPlan returns a plan for Tokachi with new replicas beside the old ones and a rollout on both routes to the
// models.
func rolloutPlan(k versionKind) plan {
	const end = rolloutStart + rolloutDuration
	s := site.Tokachi()
	m := modelMix(s)
	c := capacity(s, m)
	for i, g := range []int{0, 0, 0, 1, 1, 1, 2, 2, 2} {
		s = s.WithModel(fmt.Sprintf("n%d", i+1), s.Document.DataCentres[i%3].Name, site.New, g)
	}
	for _, r := range s.Document.Routes {
		if r.Pool == site.Models {
			s.Document = s.Document.WithRoute(r.WithRollout(operator.Rollout{
				ID: "move-" + r.Name, To: site.New, CanaryShare: canaryShare,
				Start: clock.Start.Add(rolloutStart), Deadline: clock.Start.Add(end),
			}))
		}
	}
	p := plan{
		site: s, capacity: c, windowStart: rolloutStart, windowEnd: end, end: end + drain,
		phases: []load.Phase{phaseAtShare(m, c, ratedLoad, 0, end), orderPhase(s, end)},
	}
	isNew := func(server string) bool { return server[0] == 'n' }
	p.adjustConfig = func(cfg *drive.Config) { cfg.ColdStart = isNew }
	p.scheduleEvents = func(w *drive.Simulation) {
		w.Clock.At(rolloutStart+k.faultDelay, func() {
			for _, cfg := range s.Engines {
				if isNew(cfg.Name) {
					w.Engines[cfg.Name].SetFaults(k.faults)
				}
			}
		})
	}
	return p
}
