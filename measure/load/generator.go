package load

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/mustardseam/mustardseam/measure/engine"
)

// Generator draws requests; the zero value is not usable.
type Generator struct {
	rnd     *rand.Rand
	src     rand.Source
	name    string
	entries int
	n       int
}

// New returns a generator whose requests arrive at the given number of entry instances; generators of one seed and
// different names are independent.
func New(seed uint64, name string, entries int) *Generator {
	src := rand.NewPCG(seed, hash(name))
	return &Generator{rnd: rand.New(src), src: src, name: name, entries: entries}
}

// Arrivals returns the requests of all phases in the order of arrival.
func Arrivals(seed uint64, entries int, phases []Phase) []Request {
	var all []Request
	for i, p := range phases {
		g := New(seed, fmt.Sprintf("r%d", i), entries)
		gap := distuv.Exponential{Rate: p.Rate, Src: g.src}
		at := p.Start
		for p.Rate > 0 {
			at += time.Duration(gap.Rand() * float64(time.Second))
			if at >= p.End {
				break
			}
			r := g.Next(p.Mix)
			r.At = at
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return all
}

// Next returns a request of the mix.
func (g *Generator) Next(m Mix) Request {
	g.n++
	r := Request{
		ID: fmt.Sprintf("%s-%d", g.name, g.n), Team: g.choose(m.Teams), Route: g.choose(m.Routes), Tier: g.rank(m.Tiers),
		Prompt: g.length(m.Prompt), Output: g.length(m.Output), Entry: g.rnd.IntN(g.entries),
		NonIdempotent: m.NonIdempotent,
	}
	r.MaxOutput = int(m.Output.Max)
	r.Timeout = m.Timeouts[min(r.Tier, len(m.Timeouts)-1)]
	if m.NonIdempotent {
		r.Key = r.ID
	}
	g.fill(&r, m)
	return r
}

// fill sets the prompt's blocks: those of a shared prefix, if any, and then those of the request's own text.
func (g *Generator) fill(r *Request, m Mix) {
	shared, prefix := 0, uint64(0)
	if m.Prefixes > 0 {
		shared = m.PrefixTokens / engine.BlockTokens
		// Low numbers are drawn more often, as a few templates carry most of the calls.
		prefix = hash(fmt.Sprint("prefix-", int(float64(m.Prefixes)*g.rnd.Float64()*g.rnd.Float64())))
		r.Prompt += shared * engine.BlockTokens
	}
	own := hash(r.ID)
	for i := range r.Prompt / engine.BlockTokens {
		base := own
		if i < shared {
			base = prefix
		}
		r.Blocks = append(r.Blocks, mix(base+uint64(i)))
	}
}

func (g *Generator) choose(list []Choice) string {
	weights := make([]float64, len(list))
	for i, c := range list {
		weights[i] = c.Weight
	}
	return list[g.rank(weights)].Name
}

// rank draws an index by weight.
func (g *Generator) rank(weights []float64) int {
	return int(distuv.NewCategorical(weights, g.src).Rand())
}

func (g *Generator) length(l Lengths) int {
	u := distuv.Uniform{Min: math.Log(l.Min), Max: math.Log(l.Max), Src: g.src}
	return max(1, int(math.Round(math.Exp(u.Rand()))))
}
