package scenario

import (
	"fmt"
	"math"
	"time"

	"github.com/mustardseam/mustardseam/measure/clock"
	"github.com/mustardseam/mustardseam/measure/drive"
	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/measure/figure"
)

// done returns how much of the answers in time was done in the window, per second, in the unit of amount. An answer is
// spread evenly from its permit to its end, so that answers across an edge of the window count in part.
func (r *run) done(from, to time.Duration, amount func(*drive.Record) float64) float64 {
	sum := 0.0
	for _, rec := range r.w.Records {
		if r.isService(rec) || !rec.InTime() {
			continue
		}
		begun, ended := rec.GrantedAt.Sub(clock.Start), rec.EndedAt.Sub(clock.Start)
		if within := min(ended, to) - max(begun, from); within > 0 {
			sum += amount(rec) * within.Seconds() / (ended - begun).Seconds()
		}
	}
	return sum / (to - from).Seconds()
}

// work is the amount of engine time.
func work(rec *drive.Record) float64 { return engine.Work(rec.Prompt, rec.Output).Seconds() }

// tokens is the amount of tokens, the cost in which shares are defined (design 2.3).
func tokens(rec *drive.Record) float64 { return float64(rec.Prompt + rec.Output) }

// fairness returns Jain's index of each tier in which at least two teams were backlogged and served, in tokens and in
// engine time, and the lowest of those in tokens.
func (r *run) fairness() []figure.Figure {
	var list []figure.Figure
	low := math.NaN()
	for tier := range timeouts {
		n, j := r.jain(tier, tokens)
		_, byTime := r.jain(tier, work)
		if n < 2 || math.IsNaN(j) {
			continue
		}
		if !(j > low) {
			low = j
		}
		list = append(list,
			figure.New(fmt.Sprintf("jain-tokens-tier-%d-of-%d-teams", tier, n), j, ""),
			figure.New(fmt.Sprintf("jain-engine-time-tier-%d", tier), byTime, ""))
	}
	return append(list, figure.New("jain-weighted-shares", low, "").With(figure.AtLeast, 0.97, figure.Targets))
}

// jain returns the number of teams that were backlogged in the tier and the index of their weighted shares.
func (r *run) jain(tier int, amount func(*drive.Record) float64) (int, float64) {
	backlogged := r.backlog.teams(tier)
	var shares []float64
	for _, t := range r.site.Document.Teams {
		if !backlogged[t.Name] {
			continue
		}
		got := r.done(r.from, r.to, func(rec *drive.Record) float64 {
			if rec.Tier != tier || rec.Team != t.Name {
				return 0
			}
			return amount(rec)
		})
		shares = append(shares, got/t.Weight)
	}
	return len(shares), figure.Jain(shares)
}

// overload returns the goodput in the window as a share of the saturated fleet's capacity.
func (r *run) overload(from, to, capacity time.Duration) figure.Figure {
	got := r.done(from, to, work)
	return figure.New("goodput-of-capacity", got/capacity.Seconds(), "").With(figure.AtLeast, 0.95, figure.Targets)
}
