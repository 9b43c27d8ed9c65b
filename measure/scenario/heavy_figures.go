package scenario

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/measure/figure"
	"github.com/mustardseam/mustardseam/measure/peers"
)

// lossFigures returns the worth share of the worst second of arrivals, the refusals, and the share of tokens thrown
// away.
func lossFigures(list []*peers.Record) []figure.Figure {
	worst, refusals, wasted, tokens := 1.0, 0, 0, 0
	for at := time.Duration(0); at < heavyArrivalsEnd; at += time.Second {
		worst = min(worst, worthShare(filter(list, func(r *peers.Record) bool { return r.At >= at && r.At < at+time.Second })))
	}
	for _, r := range list {
		refusals += r.Refused
		wasted += r.Wasted
		tokens += r.Prompt + r.Output
	}
	return []figure.Figure{
		figure.New("worth-of-worst-second", worst, ""), figure.New("refusals", float64(refusals), ""),
		figure.New("tokens-thrown-away", figure.Ratio(float64(wasted), float64(tokens)), ""),
	}
}

// sizeDecileFigures returns the worth share of each decile of requests by prompt length, from the shortest on.
func sizeDecileFigures(list []*peers.Record) []figure.Figure {
	bySize := slices.Clone(list)
	slices.SortStableFunc(bySize, func(a, b *peers.Record) int { return cmp.Compare(a.Prompt, b.Prompt) })
	var figures []figure.Figure
	for i := range 10 {
		part := bySize[len(bySize)*i/10 : len(bySize)*(i+1)/10]
		figures = append(figures, figure.New(fmt.Sprintf("worth-of-size-decile-%d", i+1), worthShare(part), ""))
	}
	return figures
}

// worthShare returns the worth that the requests earned as a share of the worth that they could have earned.
func worthShare(list []*peers.Record) float64 {
	return figure.Ratio(earned(list, (*peers.Record).Worth), earned(list, func(r *peers.Record) float64 { return r.Kind.Worth }))
}

func earned(list []*peers.Record, worth func(*peers.Record) float64) float64 {
	sum := 0.0
	for _, r := range list {
		sum += worth(r)
	}
	return sum
}

func filter(list []*peers.Record, keep func(*peers.Record) bool) []*peers.Record {
	var out []*peers.Record
	for _, r := range list {
		if keep(r) {
			out = append(out, r)
		}
	}
	return out
}
