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

// The rollouts of tokachi-rollout: both routes to the models move to new replicas that start, cold, beside the old
// ones. A canary share of 5 % gives about one request a second, so that 5 minutes suffice for the evidence.
const (
	rolloutSeeds  = 20
	rolloutStart  = 10 * time.Second
	rolloutTime   = 300 * time.Second
	rolloutCanary = 0.05
	workers       = 4
)

// kind is a good version or one of the five kinds of bad version (design 2.5).
type kind struct {
	name   string
	faults engine.Faults
	after  time.Duration // From the start of the rollout to the fault.
}

var kinds = []kind{
	{name: "good"},
	{name: "fails-at-once", faults: engine.Faults{FailShare: 0.5}},
	{name: "slow-at-once", faults: engine.Faults{Slow: 3}},
	{name: "fails-later", faults: engine.Faults{FailShare: 0.5}, after: 100 * time.Second},
	{name: "fails-under-load", faults: engine.Faults{FailShare: 0.5, MinBatch: 5}},
	{name: "bad-on-one-route", faults: engine.Faults{FailShare: 0.5, Route: "quote-model"}},
}

// moves is what became of the rollouts of one run.
type moves struct {
	good, goodDone int
	goodBack       int // Good versions that were taken back; those neither done nor back were late.
	bad, badBack   int
	share          float64 // Largest share of a route's traffic that went to a bad version.
	after          int     // Requests to a bad version later than 2 s after the verdict.
	run            Result
}

// tokachiRollout runs every kind over the seeds from the given one on.
func tokachiRollout(o Options) Result {
	all := make([]moves, len(kinds)*rolloutSeeds)
	var wg sync.WaitGroup
	next := make(chan int)
	for range workers {
		wg.Go(func() {
			for i := range next {
				seeded := o
				seeded.Seed += uint64(i / len(kinds))
				all[i] = moveVersions(kinds[i%len(kinds)], seeded)
			}
		})
	}
	for i := range all {
		next <- i
	}
	close(next)
	wg.Wait()
	return summary(all)
}

// summary adds up the runs; the common figures are those of the first one, with the counts of all.
func summary(all []moves) Result {
	var list []figure.Figure
	var total moves
	for k, kd := range kinds {
		var sum moves
		for i := k; i < len(all); i += len(kinds) {
			sum = sum.plus(all[i])
		}
		total = total.plus(sum)
		if sum.good > 0 {
			list = append(list, figure.New("rolled-out-"+kd.name, figure.Ratio(float64(sum.goodDone), float64(sum.good)), ""))
		}
		if sum.bad > 0 {
			list = append(list,
				figure.New("rolled-back-"+kd.name, figure.Ratio(float64(sum.badBack), float64(sum.bad)), ""),
				figure.New("bad-share-"+kd.name, sum.share, ""))
		}
	}
	list = append(list,
		figure.New("good-versions-taken-back", float64(total.goodBack), ""),
		figure.New("good-versions-late", float64(total.good-total.goodDone-total.goodBack), ""),
		figure.New("good-versions-rolled-out", figure.Ratio(float64(total.goodDone), float64(total.good)), "").
			With(figure.AtLeast, 0.99, figure.Targets),
		figure.New("bad-versions-rolled-back", figure.Ratio(float64(total.badBack), float64(total.bad)), "").
			With(figure.AtLeast, 0.99, figure.Targets),
		figure.New("bad-version-traffic", total.share, "").With(figure.AtMost, rolloutCanary, figure.Targets),
		figure.None("bad-version-after-2s", total.after))
	return Result{Figures: append(list, together(all)...), Series: all[0].run.Series}
}

// together adds up the counts that must be 0 over all runs.
func together(all []moves) []figure.Figure {
	var list []figure.Figure
	for i, f := range all[0].run.Figures {
		if f.Relation != figure.AtMost || f.Bound != 0 {
			continue
		}
		for _, m := range all[1:] {
			f.Value += m.run.Figures[i].Value
		}
		list = append(list, f)
	}
	return list
}

func (m moves) plus(n moves) moves {
	m.good, m.goodDone, m.bad, m.badBack = m.good+n.good, m.goodDone+n.goodDone, m.bad+n.bad, m.badBack+n.badBack
	m.share, m.after, m.goodBack = max(m.share, n.share), m.after+n.after, m.goodBack+n.goodBack
	return m
}

// moveVersions runs the rollout of one kind of version on both routes.
func moveVersions(k kind, o Options) moves {
	p := rolloutPlan(k)
	var movers []*mover
	old := p.faults
	p.faults = func(w *drive.Simulation) {
		old(w)
		w.Clock.At(rolloutStart, func() {
			for _, r := range w.Document.Routes {
				if r.Rollout != nil {
					movers = append(movers, newMover(w, r))
				}
			}
		})
		w.OnOutcome = func(rec *drive.Record, out pool.Outcome) {
			for _, m := range movers {
				m.observe(rec, out)
			}
		}
	}
	r := execute(p, o)
	out := moves{run: r.result()}
	for _, m := range movers {
		bad := k.name != "good" && (k.faults.Route == "" || k.faults.Route == m.rec.Route)
		if !bad {
			out.good++
			if m.rec.State == rollout.Done && !m.ended.After(m.rec.Deadline) {
				out.goodDone++
			}
			if m.rec.State == rollout.RolledBack {
				out.goodBack++
			}
			continue
		}
		out.bad++
		if m.rec.State == rollout.RolledBack {
			out.badBack++
		}
		share, after := r.exposure(m, k)
		out.share, out.after = max(out.share, share), out.after+after
	}
	return out
}

// exposure returns the share of the route's traffic, over the time of the rollout, that went to the new version while
// its fault could show, and the requests to it later than 2 s after the verdict.
func (r *run) exposure(m *mover, k kind) (share float64, after int) {
	all, seen := 0, 0
	for _, rec := range r.w.Records {
		if rec.Route != m.rec.Route || rec.GrantedAt.IsZero() || rec.GrantedAt.Before(m.rec.Start) {
			continue
		}
		all++
		if rec.Version != m.rec.To {
			continue
		}
		if rec.ServerLoad+1 >= k.faults.MinBatch && !rec.GrantedAt.Before(m.rec.Start.Add(k.after)) {
			seen++
		}
		if !m.marked.IsZero() && rec.GrantedAt.After(m.marked.Add(2*time.Second)) {
			after++
		}
	}
	return figure.Ratio(float64(seen), float64(all)), after
}

// rolloutPlan returns Tokachi with new replicas beside the old ones and a rollout on both routes to the models.
func rolloutPlan(k kind) plan {
	const end = rolloutStart + rolloutTime
	s := site.Tokachi()
	m := models(s)
	c := capacity(s, m)
	for i, g := range []int{0, 0, 0, 1, 1, 1, 2, 2, 2} {
		s = s.WithModel(fmt.Sprintf("n%d", i+1), s.Document.DataCentres[i%3].Name, site.New, g)
	}
	for _, r := range s.Document.Routes {
		if r.Pool == site.Models {
			s.Document = s.Document.WithRoute(r.WithRollout(operator.Rollout{
				ID: "move-" + r.Name, To: site.New, CanaryShare: rolloutCanary,
				Start: clock.Start.Add(rolloutStart), Deadline: clock.Start.Add(end),
			}))
		}
	}
	p := plan{
		site: s, capacity: c, from: rolloutStart, to: end, end: end + drain,
		phases: []load.Phase{at(m, c, rated, 0, end), orders(s, end)},
	}
	isNew := func(server string) bool { return server[0] == 'n' }
	p.adjust = func(cfg *drive.Config) { cfg.ColdStart = isNew }
	p.faults = func(w *drive.Simulation) {
		w.Clock.At(rolloutStart+k.after, func() {
			for _, cfg := range s.Engines {
				if isNew(cfg.Name) {
					w.Engines[cfg.Name].SetFaults(k.faults)
				}
			}
		})
	}
	return p
}
