package promptcache

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// prompt returns a prompt of parts with 100 tokens each.
func prompt(ids ...uint64) Prompt {
	p := make(Prompt, len(ids))
	for i, id := range ids {
		p[i] = Part{ID: id, Tokens: 100}
	}
	return p
}

// keptBothWays returns the tokens of a prompt that an engine keeps, and fails if the ways to look them up differ.
func keptBothWays(t *testing.T, x *Index, e *Engine, p Prompt) int {
	t.Helper()
	kept := x.KeptOf(e, p)
	assert.Equal(t, x.Match(p, false).Kept(e), kept)
	assert.Equal(t, x.Match(p, true).Kept(e), kept)
	return kept
}

// TestKeptPrefix guards against parts that count as kept although an engine must read them again: before the first event,
// after a part that is missing, after an eviction or after a restart.
func TestKeptPrefix(t *testing.T) {
	tests := []struct {
		name   string
		change func(x *Index, e *Engine)
		prompt Prompt
		kept   int
	}{
		{"nothing sent", func(*Index, *Engine) {}, prompt(1), 0},
		{"no parts", func(x *Index, e *Engine) { x.Read(e, prompt(1), 0) }, nil, 0},
		{"sent but not read", func(x *Index, e *Engine) { x.Begin(e, prompt(1), 100) }, prompt(1), 0},
		{"read", func(x *Index, e *Engine) { x.Read(e, prompt(1, 2), 0) }, prompt(1, 2, 3), 200},
		{"first part missing", func(x *Index, e *Engine) { x.Read(e, prompt(2, 3), 0) }, prompt(1, 2, 3), 0},
		{"middle part missing", func(x *Index, e *Engine) { x.Read(e, prompt(1, 3), 0) }, prompt(1, 2, 3), 100},
		{"least recently used evicted", func(x *Index, e *Engine) {
			x.Read(e, prompt(1, 2, 3, 4, 5), 0)
			x.Begin(e, prompt(1), 0)
			x.Read(e, prompt(6), 0)
		}, prompt(1, 2), 100},
		{"running requests need the memory", func(x *Index, e *Engine) {
			x.Read(e, prompt(1, 2, 3), 0)
			x.Begin(e, nil, 300)
		}, prompt(2, 3), 200},
		{"released memory is used again", func(x *Index, e *Engine) {
			x.Begin(e, nil, 400)
			x.End(e, 400, 0)
			x.Read(e, prompt(1, 2, 3), 0)
		}, prompt(1, 2, 3), 300},
		{"more released than held", func(x *Index, e *Engine) {
			x.End(e, 1000, 0)
			x.Begin(e, nil, 400)
			x.Read(e, prompt(1, 2), 0)
		}, prompt(2), 100},
		{"longer than the memory", func(x *Index, e *Engine) { x.Read(e, Prompt{{ID: 1, Tokens: 501}}, 0) }, prompt(1), 0},
		{"part became longer", func(x *Index, e *Engine) { x.Read(e, prompt(1, 2), 0) }, Prompt{{1, 150}, {2, 100}}, 100},
		{"part became shorter", func(x *Index, e *Engine) { x.Read(e, prompt(1, 2), 0) }, Prompt{{1, 50}, {2, 100}}, 150},
		{"cleared", func(x *Index, e *Engine) {
			x.Read(e, prompt(1), 0)
			x.Clear(e)
		}, prompt(1), 0},
		{"capacity reduced", func(x *Index, e *Engine) {
			x.Read(e, prompt(1, 2, 3), 0)
			x.SetCapacity(e, 200)
		}, prompt(2, 3), 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := New(Config{})
			other, e := x.Add(500), x.Add(500)
			x.Read(other, prompt(1, 2, 3, 4), 0)
			test.change(x, e)
			assert.Equal(t, keptBothWays(t, x, e, test.prompt), test.kept)
			assert.Equal(t, keptBothWays(t, x, other, prompt(1, 2, 3, 4)), 400, "another engine is not affected")
		})
	}
}

// TestRemovedEngine guards against a new run of an engine that seems to keep what its predecessor kept.
func TestRemovedEngine(t *testing.T) {
	x := New(Config{})
	old := x.Add(500)
	x.Read(old, prompt(1, 2), 0)
	assert.Equal(t, x.Match(prompt(1, 2), true).Kept(old), 200)
	x.Remove(old)
	assert.Equal(t, x.Len(), 0)
	next := x.Add(500)
	assert.Equal(t, keptBothWays(t, x, next, prompt(1, 2)), 0)
	x.Read(next, prompt(1), 0)
	assert.Equal(t, keptBothWays(t, x, next, prompt(1, 2)), 100)
}

// TestHolders guards against engines that are offered although others keep a longer beginning of the prompt, and against
// a list without end.
func TestHolders(t *testing.T) {
	x := New(Config{})
	a, b, c := x.Add(500), x.Add(500), x.Add(500)
	x.Read(a, prompt(1, 2), 0)
	x.Read(b, prompt(1), 0)
	x.Read(c, prompt(1, 2), 0)
	var got []*Engine
	x.Holders(prompt(1, 2, 3), func(e *Engine) bool {
		got = append(got, e)
		return true
	})
	assert.Equal(t, len(got), 2)
	assert.Assert(t, got[0] == c && got[1] == a, "the latest one comes first")
	x.Holders(prompt(4, 5), func(*Engine) bool { panic("no engine keeps it") })
}

// TestIndexStaysConsistent guards against a record that exceeds its bounds, loses entries or differs from what a simple
// model keeps, under many random changes.
func TestIndexStaysConsistent(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			x := New(Config{MaxEntries: 60})
			var engines []*Engine
			for range 5 {
				engines = append(engines, x.Add(1000+rnd.IntN(2000)))
			}
			for step := range 2000 {
				i := rnd.IntN(len(engines))
				e, p := engines[i], prompt(rnd.Uint64N(8), 10+rnd.Uint64N(8), 100+rnd.Uint64N(40))
				switch rnd.IntN(8) {
				case 0:
					x.Remove(e)
					engines[i] = x.Add(1000 + rnd.IntN(2000))
				case 1:
					x.Observe(e, Events{Epoch: 1, Next: 1 << 40, List: []Event{{Number: 1 << 40, Part: p[0].ID}}})
				case 2:
					x.Begin(e, p, rnd.IntN(500))
				case 3:
					x.End(e, rnd.IntN(500), 0)
				default:
					x.Read(e, p, rnd.IntN(100))
				}
				if step%25 == 0 {
					checkConsistency(t, x, engines)
				}
			}
		})
	}
}

// checkConsistency fails if the lists of an index contradict each other or its bounds.
func checkConsistency(t *testing.T, x *Index, engines []*Engine) {
	t.Helper()
	count := 0
	for _, e := range engines {
		kept, newer, before := 0, int32(0), count
		for i := e.newest; i != 0; i = x.entries[i].older {
			n := x.entries[i]
			assert.Equal(t, n.engine, e.number)
			assert.Equal(t, n.newer, newer)
			assert.Equal(t, x.byHolding[holding{n.part, e.number}], i)
			kept += int(n.tokens)
			newer = i
			count++
		}
		assert.Equal(t, e.oldest, newer)
		assert.Equal(t, e.kept, kept)
		assert.Equal(t, e.count, count-before)
		assert.Assert(t, kept <= e.capacity)
	}
	held := 0
	for part, i := range x.firstHolder {
		before := int32(0)
		for ; i != 0; i = x.entries[i].after {
			assert.Equal(t, x.entries[i].part, part)
			assert.Equal(t, x.entries[i].before, before)
			before = i
			held++
		}
	}
	assert.Equal(t, count, x.Len())
	assert.Equal(t, held, count)
	assert.Equal(t, len(x.byHolding), count)
	assert.Assert(t, count <= x.maxEntries && len(x.entries) <= x.maxEntries+1)
}

// TestMemoryIsBounded guards against an index whose memory grows with the prompts that many engines have read, or whose
// bound leaves some engines with few entries: those that read little, or that were added last.
func TestMemoryIsBounded(t *testing.T) {
	x := New(Config{})
	var engines []*Engine
	for range 2400 {
		engines = append(engines, x.Add(1_000_000))
	}
	id := uint64(1000)
	for range 100 {
		for _, e := range engines {
			id++
			x.Read(e, prompt(id%16, id), 0)
		}
	}
	assert.Equal(t, x.Len(), defaultMaxEntries)
	assert.Assert(t, len(x.entries) <= defaultMaxEntries+1)
	for range 50 { // Restarts.
		x.Remove(engines[0])
		engines = append(engines[1:], x.Add(1_000_000))
	}
	for range 100 {
		for _, e := range engines {
			id++
			x.Read(e, prompt(id%16, id), 0)
		}
	}
	assert.Equal(t, x.Len(), defaultMaxEntries)
	for i, e := range engines {
		assert.Assert(t, e.count >= defaultMaxEntries/2400-1, "engine %d has %d entries", i, e.count)
	}
	checkConsistency(t, x, engines)
}
