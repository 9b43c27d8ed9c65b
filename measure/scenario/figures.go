package scenario

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/measure/figure"
)

// buildResult returns the common figures, the extra figures of the plan, and the series.
func (r *run) buildResult() Result {
	list := r.goodputFigures()
	list = append(list, r.shedFigures()...)
	list = append(list, r.latencyFigures()...)
	list = append(list, r.wastedPrefill(), r.attemptsPerRequest())
	list = append(list, r.safetyFigures()...)
	if r.extraFigures != nil {
		list = append(list, r.extraFigures(r)...)
	}
	return Result{Figures: list, Series: r.series()}
}

// tierTotals holds the demand and the goodput of the model calls of one tier within the measured window.
type tierTotals struct {
	calls, inTime, shed  int
	tokens, tokensInTime int
	work, workInTime     time.Duration
}

func (r *run) totals(tier int) tierTotals {
	var s tierTotals
	for _, rec := range r.sim.Records {
		if rec.Tier != tier || r.isService(rec) || !r.inWindow(rec) {
			continue
		}
		work := engine.ComputeTime(rec.Prompt, rec.Output)
		s.calls++
		s.tokens += rec.Output
		s.work += work
		if rec.Shed() {
			s.shed++
		}
		if rec.InTime() {
			s.inTime++
			s.tokensInTime += rec.Output
			s.workInTime += work
		}
	}
	return s
}

func (r *run) goodputFigures() []figure.Figure {
	var list []figure.Figure
	for t := range timeouts {
		s := r.totals(t)
		list = append(list,
			figure.New(fmt.Sprintf("calls-tier-%d", t), float64(s.calls), ""),
			figure.New(fmt.Sprintf("goodput-answers-tier-%d", t), figure.Ratio(float64(s.inTime), float64(s.calls)), ""),
			figure.New(fmt.Sprintf("goodput-tokens-tier-%d", t), figure.Ratio(float64(s.tokensInTime), float64(s.tokens)), ""),
		)
	}
	calls, inTime := 0, 0
	for _, rec := range r.sim.Records {
		if r.isService(rec) && r.inWindow(rec) {
			calls++
			if rec.InTime() {
				inTime++
			}
		}
	}
	return append(list, figure.New("goodput-orders", figure.Ratio(float64(inTime), float64(calls)), ""))
}

func (r *run) shedFigures() []figure.Figure {
	var list []figure.Figure
	for t := range timeouts {
		list = append(list, figure.New(fmt.Sprintf("shed-tier-%d", t), float64(r.totals(t).shed), ""))
	}
	return list
}

func (r *run) latencyFigures() []figure.Figure {
	maxFirstToken, maxInterToken := 0.0, 0.0
	if r.hasLatencyTargets {
		maxFirstToken, maxInterToken = 1300, 48
	}
	list := r.firstToken.Figures("first-token", maxFirstToken)
	list = append(list, r.interToken.Figures("between-tokens", maxInterToken)...)
	return append(list, r.serviceCall.Figures("order", 0)...)
}

// wastedPrefill returns the share of computed prompt tokens that were spent on requests not answered in time, or that
// some server had computed before.
func (r *run) wastedPrefill() figure.Figure {
	computed := 0
	for _, cfg := range r.site.Engines {
		computed += r.sim.Engines[cfg.Name].Stats().Prefilled
	}
	return figure.New("wasted-prefill", figure.Ratio(float64(computed-r.sim.Counters.UsefulPromptTokens), float64(computed)), "")
}

func (r *run) attemptsPerRequest() figure.Figure {
	asks := 0
	for _, rec := range r.sim.Records {
		asks += rec.Asks
	}
	return figure.New("attempts-per-request", figure.Ratio(float64(asks), float64(len(r.sim.Records))), "").
		WithBound(figure.Below, 1.1, figure.Targets)
}

// safetyFigures returns the counts of violations over all requests of the run. All that have a bound must be 0 in every
// scenario.
func (r *run) safetyFigures() []figure.Figure {
	duplicates, lost, twice := 0, 0, 0
	for _, rec := range r.sim.Records {
		duplicates += max(0, rec.Admissions-1)
		if rec.FinalAnswers == 0 {
			lost++
		}
		twice += max(0, rec.FinalAnswers-1)
	}
	t := r.sim.Counters
	return []figure.Figure{
		figure.ZeroCount("inversions-queue-full", t.QueueFullInversions),
		figure.ZeroCount("inversions-passed-over", t.PassedOverInversions),
		figure.ZeroCount("inversions-given-up", t.DeadlineInversions),
		figure.ZeroCount("over-cold-limit", t.OverColdLimit),
		figure.New("over-cold-limit-unannounced", float64(t.OverColdLimitUnannounced), ""),
		figure.ZeroCount("duplicate-runs", duplicates),
		figure.ZeroCount("lost-answers", lost),
		figure.ZeroCount("mixed-up-answers", t.WrongAnswers+twice),
		figure.ZeroCountByGuarantee("false-not-run", t.FalseNotRun, 7),
	}
}
