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

// Generator draws random requests. Use New to create one; the zero value is not usable.
type Generator struct {
	rnd       *rand.Rand
	src       rand.Source
	name      string
	entries   int
	generated int
}

// New returns a generator whose requests arrive at the given number of entry instances. Generators with the same seed
// and different names are independent.
func New(seed uint64, name string, entries int) *Generator {
	src := rand.NewPCG(seed, hash(name))
	return &Generator{rnd: rand.New(src), src: src, name: name, entries: entries}
}

// Arrivals returns the requests of all phases in order of arrival.
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

// Next draws the next request of the mix.
func (g *Generator) Next(m Mix) Request {
	g.generated++
	r := Request{
		ID: fmt.Sprintf("%s-%d", g.name, g.generated), Team: g.chooseName(m.Teams), Route: g.chooseName(m.Routes), Tier: g.chooseIndex(m.Tiers),
		Prompt: g.drawLength(m.Prompt), Output: g.drawLength(m.Output), Entry: g.rnd.IntN(g.entries),
		NonIdempotent: m.NonIdempotent,
	}
	r.MaxOutput = int(m.Output.Max)
	r.Timeout = m.Timeouts[min(r.Tier, len(m.Timeouts)-1)]
	if m.NonIdempotent {
		r.Key = r.ID
	}
	g.setBlocks(&r, m)
	return r
}

// setBlocks sets the prompt blocks of the request: first those of a shared prefix, if any, then those of its own text.
func (g *Generator) setBlocks(r *Request, m Mix) {
	shared, prefix := 0, uint64(0)
	if m.Prefixes > 0 {
		shared = m.PrefixTokens / engine.BlockTokens
		// Lower numbers are drawn more often, because a few templates account for most calls.
		prefix = hash(fmt.Sprint("prefix-", int(float64(m.Prefixes)*g.rnd.Float64()*g.rnd.Float64())))
		r.Prompt += shared * engine.BlockTokens
	}
	own := hash(r.ID)
	for i := range r.Prompt / engine.BlockTokens {
		base := own
		if i < shared {
			base = prefix
		}
		r.Blocks = append(r.Blocks, mixBits(base+uint64(i)))
	}
}

func (g *Generator) chooseName(list []Choice) string {
	weights := make([]float64, len(list))
	for i, c := range list {
		weights[i] = c.Weight
	}
	return list[g.chooseIndex(weights)].Name
}

// chooseIndex draws an index with probability proportional to its weight.
func (g *Generator) chooseIndex(weights []float64) int {
	return int(distuv.NewCategorical(weights, g.src).Rand())
}

func (g *Generator) drawLength(l Lengths) int {
	u := distuv.Uniform{Min: math.Log(l.Min), Max: math.Log(l.Max), Src: g.src}
	return max(1, int(math.Round(math.Exp(u.Rand()))))
}
