package scenario

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/measure/figure"
)

// result returns the common figures, those of the plan, and the series.
func (r *run) result() Result {
	list := r.goodput()
	list = append(list, r.sheds()...)
	list = append(list, r.latencies()...)
	list = append(list, r.prefill(), r.attempts())
	list = append(list, r.safety()...)
	if r.figures != nil {
		list = append(list, r.figures(r)...)
	}
	return Result{Figures: list, Series: r.series()}
}

// served sums up what a tier of the model calls asked for and got.
type served struct {
	calls, inTime, shed int
	tokens, tokensIn    int
	work, workIn        time.Duration
}

func (r *run) tier(tier int) served {
	var s served
	for _, rec := range r.w.Records {
		if rec.Tier != tier || r.isService(rec) || !r.measured(rec) {
			continue
		}
		work := engine.Work(rec.Prompt, rec.Output)
		s.calls++
		s.tokens += rec.Output
		s.work += work
		if rec.Shed() {
			s.shed++
		}
		if rec.InTime() {
			s.inTime++
			s.tokensIn += rec.Output
			s.workIn += work
		}
	}
	return s
}

func (r *run) goodput() []figure.Figure {
	var list []figure.Figure
	for t := range timeouts {
		s := r.tier(t)
		list = append(list,
			figure.New(fmt.Sprintf("calls-tier-%d", t), float64(s.calls), ""),
			figure.New(fmt.Sprintf("goodput-answers-tier-%d", t), figure.Ratio(float64(s.inTime), float64(s.calls)), ""),
			figure.New(fmt.Sprintf("goodput-tokens-tier-%d", t), figure.Ratio(float64(s.tokensIn), float64(s.tokens)), ""),
		)
	}
	calls, inTime := 0, 0
	for _, rec := range r.w.Records {
		if r.isService(rec) && r.measured(rec) {
			calls++
			if rec.InTime() {
				inTime++
			}
		}
	}
	return append(list, figure.New("goodput-orders", figure.Ratio(float64(inTime), float64(calls)), ""))
}

func (r *run) sheds() []figure.Figure {
	var list []figure.Figure
	for t := range timeouts {
		list = append(list, figure.New(fmt.Sprintf("shed-tier-%d", t), float64(r.tier(t).shed), ""))
	}
	return list
}

func (r *run) latencies() []figure.Figure {
	first, between := 0.0, 0.0
	if r.rated {
		first, between = 1300, 48
	}
	list := r.first.Figures("first-token", first)
	list = append(list, r.between.Figures("between-tokens", between)...)
	return append(list, r.service.Figures("order", 0)...)
}

// prefill returns the share of computed prompt tokens that went into answers that were not given in time, or that
// some server had computed before.
func (r *run) prefill() figure.Figure {
	computed := 0
	for _, cfg := range r.site.Engines {
		computed += r.w.Engines[cfg.Name].Stats().Prefilled
	}
	return figure.New("wasted-prefill", figure.Ratio(float64(computed-r.w.Counters.UsefulPromptTokens), float64(computed)), "")
}

func (r *run) attempts() figure.Figure {
	asks := 0
	for _, rec := range r.w.Records {
		asks += rec.Asks
	}
	return figure.New("attempts-per-request", figure.Ratio(float64(asks), float64(len(r.w.Records))), "").
		With(figure.Below, 1.1, figure.Targets)
}

// safety returns what must be 0 in every scenario, over all requests of the run.
func (r *run) safety() []figure.Figure {
	duplicates, lost, twice := 0, 0, 0
	for _, rec := range r.w.Records {
		duplicates += max(0, rec.Admissions-1)
		if rec.FinalAnswers == 0 {
			lost++
		}
		twice += max(0, rec.FinalAnswers-1)
	}
	t := r.w.Counters
	return []figure.Figure{
		figure.None("inversions-queue-full", t.QueueFullInversions),
		figure.None("inversions-passed-over", t.PassedOverInversions),
		figure.None("inversions-given-up", t.DeadlineInversions),
		figure.None("over-cold-limit", t.OverColdLimit),
		figure.New("over-cold-limit-unannounced", float64(t.OverColdLimitUnannounced), ""),
		figure.None("duplicate-runs", duplicates),
		figure.None("lost-answers", lost),
		figure.None("mixed-up-answers", t.WrongAnswers+twice),
		figure.NoneBy("false-not-run", t.FalseNotRun, 7),
	}
}
