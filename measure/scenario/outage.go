package scenario

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/measure/figure"
	"github.com/mustardseam/mustardseam/measure/outage"
	"github.com/mustardseam/mustardseam/measure/site"
)

// The store of store-outage fails for ten minutes; in the second run the home dies in the middle.
const (
	outageFrom = time.Minute
	outageTo   = 11 * time.Minute
	outageEnd  = 13 * time.Minute
	homeDies   = 6 * time.Minute
)

// storeOutage runs the order service of Tokachi through an outage of the store, once with a home that lives on by the
// consent of the others, and once with a home that dies. Answers are lost at the store and on the way to the callers. A
// baseline has no part in it, so that o.Make is not used.
func storeOutage(o Options) Result {
	consent := throughOutage(o.Seed, 0)
	static := throughOutage(o.Seed, homeDies)
	list := append(phases("home-lives", consent, outageFrom, outageTo), phases("home-dies", static, homeDies, outageTo)...)
	worst := max(consent.Config.Worst, static.Config.Worst)
	sum := func(f func(*outage.World) int) int { return f(consent) + f(static) }
	list = append(list,
		figure.New("longest-time-without-home", consent.Tally.Without.Seconds(), "s"),
		figure.New("longest-time-without-right", static.Tally.Without.Seconds(), "s"),
		figure.New("rollback-mark-everywhere", max(consent.Marks.Worst, static.Marks.Worst).Seconds(), "s"),
		figure.New("configurations-accepted", float64(sum(func(w *outage.World) int { return w.Config.Count + w.Config.Open })), ""),
		figure.New("configuration-in-force", worst.Seconds(), "s").With(figure.AtMost, 6, figure.Targets),
		figure.NoneBy("configurations-not-everywhere", sum(func(w *outage.World) int { return w.Config.Open }), 11),
		figure.None("configuration-reverts", sum(func(w *outage.World) int { return w.Config.Reverts })),
		figure.NoneBy("accepted-without-store", sum(func(w *outage.World) int { return w.Tally.Accepted }), 11),
		figure.None("duplicate-runs", sum(duplicates)),
		figure.None("false-not-run", sum(func(w *outage.World) int { return w.Tally.FalseNotRun })),
		figure.None("lost-answers", sum(func(w *outage.World) int { return w.Tally.Lost })),
		figure.New("samples-with-two-homes", float64(sum(func(w *outage.World) int { return w.Tally.TwoHomes })), ""),
	)
	return Result{Figures: list}
}

// throughOutage submits configurations before, shortly before, during and after the outage.
func throughOutage(seed uint64, dies time.Duration) *outage.World {
	w := outage.New(outage.Config{
		Site: site.Tokachi(), Seed: seed, From: outageFrom, To: outageTo, HomeDies: dies, End: outageEnd,
		Rate: orderRate, LostAt: 0.1, LostOn: 0.02,
	})
	for i, at := range []time.Duration{20 * time.Second, outageFrom - 100*time.Millisecond, 5 * time.Minute, outageTo + time.Minute} {
		w.Clock.At(at, func() { w.Submit(100 + i) })
	}
	w.Clock.At(2*time.Minute, w.Mark)
	w.Run()
	return w
}

// duplicates returns the executions of keyed requests beyond the first.
func duplicates(w *outage.World) int {
	n := 0
	for _, r := range w.Requests {
		if r.Key != "" {
			n += max(0, r.Runs-1)
		}
	}
	return n
}

// phases returns what became of the requests that came before, in and after the window.
func phases(name string, w *outage.World, from, to time.Duration) []figure.Figure {
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
