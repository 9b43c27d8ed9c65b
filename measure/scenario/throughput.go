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

// completedPerSecond returns the amount per second of the answers in time that was completed in the window, in the unit
// of amount. Each answer is spread evenly from its permit to its end, so answers that cross an edge of the window count
// in part.
func (r *run) completedPerSecond(from, to time.Duration, amount func(*drive.Record) float64) float64 {
	sum := 0.0
	for _, rec := range r.sim.Records {
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

// engineTime returns the work of the request in seconds of engine time.
func engineTime(rec *drive.Record) float64 {
	return engine.ComputeTime(rec.Prompt, rec.Output).Seconds()
}

// totalTokens returns the prompt and output tokens of the request, the cost in which shares are defined (design 2.3).
func totalTokens(rec *drive.Record) float64 { return float64(rec.Prompt + rec.Output) }

// fairnessFigures returns Jain's index in tokens and in engine time for each tier in which at least two teams were
// backlogged and served, and the lowest of the indices in tokens.
func (r *run) fairnessFigures() []figure.Figure {
	var list []figure.Figure
	low := math.NaN()
	for tier := range timeouts {
		n, j := r.weightedJain(tier, totalTokens)
		_, byTime := r.weightedJain(tier, engineTime)
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
	return append(list, figure.New("jain-weighted-shares", low, "").WithBound(figure.AtLeast, 0.97, figure.Targets))
}

// weightedJain returns the number of teams that were backlogged in the tier and Jain's index of their weighted shares.
func (r *run) weightedJain(tier int, amount func(*drive.Record) float64) (int, float64) {
	backlogged := r.backlog.backloggedTeams(tier)
	var shares []float64
	for _, t := range r.site.Document.Teams {
		if !backlogged[t.Name] {
			continue
		}
		got := r.completedPerSecond(r.windowStart, r.windowEnd, func(rec *drive.Record) float64 {
			if rec.Tier != tier || rec.Team != t.Name {
				return 0
			}
			return amount(rec)
		})
		shares = append(shares, got/t.Weight)
	}
	return len(shares), figure.Jain(shares)
}

// goodputOfCapacity returns the goodput in the window as a share of the saturated fleet's capacity, which is given as
// work per second.
func (r *run) goodputOfCapacity(from, to, capacity time.Duration) figure.Figure {
	got := r.completedPerSecond(from, to, engineTime)
	return figure.New("goodput-of-capacity", got/capacity.Seconds(), "").WithBound(figure.AtLeast, 0.95, figure.Targets)
}
