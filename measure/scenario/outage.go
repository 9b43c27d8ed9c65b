package scenario

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/measure/figure"
	"github.com/mustardseam/mustardseam/measure/outage"
	"github.com/mustardseam/mustardseam/measure/site"
)

// Timeline of store-outage, as offsets from the start: the store is unavailable for ten minutes, and in the second run
// the home fails in the middle of the outage.
const (
	outageStart     = time.Minute
	outageEnd       = 11 * time.Minute
	outageRunEnd    = 13 * time.Minute
	homeFailureTime = 6 * time.Minute
)

// storeOutage runs the order service of Tokachi through an outage of the store, once with a home that continues with the
// consent of the other instances, and once with a home that fails. Answers are lost at the store and on the way to the
// callers. Baselines do not take part, so o.NewScheduler is not used.
func storeOutage(o Options) Result {
	surviving := runOutage(o.Seed, 0)
	failing := runOutage(o.Seed, homeFailureTime)
	list := append(outcomeShares("home-lives", surviving, outageStart, outageEnd), outcomeShares("home-dies", failing, homeFailureTime, outageEnd)...)
	worst := max(surviving.Config.Worst, failing.Config.Worst)
	sum := func(f func(*outage.World) int) int { return f(surviving) + f(failing) }
	list = append(list,
		figure.New("longest-time-without-home", surviving.Tally.Without.Seconds(), "s"),
		figure.New("longest-time-without-right", failing.Tally.Without.Seconds(), "s"),
		figure.New("rollback-mark-everywhere", max(surviving.Marks.Worst, failing.Marks.Worst).Seconds(), "s"),
		figure.New("configurations-accepted", float64(sum(func(w *outage.World) int { return w.Config.Count + w.Config.Open })), ""),
		figure.New("configuration-in-force", worst.Seconds(), "s").WithBound(figure.AtMost, 6, figure.Targets),
		figure.ZeroCountByGuarantee("configurations-not-everywhere", sum(func(w *outage.World) int { return w.Config.Open }), 11),
		figure.ZeroCount("configuration-reverts", sum(func(w *outage.World) int { return w.Config.Reverts })),
		figure.ZeroCountByGuarantee("accepted-without-store", sum(func(w *outage.World) int { return w.Tally.Accepted }), 11),
		figure.ZeroCount("duplicate-runs", sum(duplicateRuns)),
		figure.ZeroCount("false-not-run", sum(func(w *outage.World) int { return w.Tally.FalseNotRun })),
		figure.ZeroCount("lost-answers", sum(func(w *outage.World) int { return w.Tally.Lost })),
		figure.New("samples-with-two-homes", float64(sum(func(w *outage.World) int { return w.Tally.TwoHomes })), ""),
	)
	return Result{Figures: list}
}

// runOutage simulates the outage, with configurations submitted well before, shortly before, during and after it. The
// home fails at homeFailure; 0 means never.
func runOutage(seed uint64, homeFailure time.Duration) *outage.World {
	w := outage.New(outage.Config{
		Site: site.Tokachi(), Seed: seed, From: outageStart, To: outageEnd, HomeDies: homeFailure, End: outageRunEnd,
		Rate: orderRate, LostAt: 0.1, LostOn: 0.02,
	})
	for i, at := range []time.Duration{20 * time.Second, outageStart - 100*time.Millisecond, 5 * time.Minute, outageEnd + time.Minute} {
		w.Clock.At(at, func() { w.Submit(100 + i) })
	}
	w.Clock.At(2*time.Minute, w.Mark)
	w.Run()
	return w
}

// duplicateRuns returns the number of executions of keyed requests beyond the first of each.
func duplicateRuns(w *outage.World) int {
	n := 0
	for _, r := range w.Requests {
		if r.Key != "" {
			n += max(0, r.Runs-1)
		}
	}
	return n
}

// outcomeShares returns the share of each outcome among the requests that arrived before, in and after the window.
func outcomeShares(name string, w *outage.World, from, to time.Duration) []figure.Figure {
	var list []figure.Figure
	for i, phase := range []string{"before", "in", "after"} {
		calls := map[outage.Final]int{}
		all := 0
		for _, r := range w.Requests {
			in := r.At >= from && r.At < to
			if (i == 0 && r.At < from) || (i == 1 && in) || (i == 2 && r.At >= to) {
				calls[r.Final]++
				all++
			}
		}
		for _, f := range []outage.Final{outage.Answered, outage.NotRun, outage.Unknown, outage.InProgress, outage.Open} {
			label := string(f)
			if f == outage.Open {
				label = "no-answer"
			}
			if calls[f] > 0 {
				share := figure.Ratio(float64(calls[f]), float64(all))
				list = append(list, figure.New(fmt.Sprintf("%s-%s-%s", name, phase, label), share, ""))
			}
		}
	}
	return list
}
