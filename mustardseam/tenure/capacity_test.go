package tenure

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep measures one Step of the home and of a follower in a region of n live and listed instances.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{8, 50, 350} {
		v := View{Listed: map[string]bool{}, Suspected: map[string]bool{}, Leaving: map[string]bool{}}
		for i := range n {
			c := Candidate{ID: fmt.Sprintf("entry-%03d.0060a1f00c9f3b.2c11a4f0", i), Address: fmt.Sprintf("10.20.%d.%d:7401", i/250, i%250)}
			v.Preferred = append(v.Preferred, c)
			v.Listed[c.ID] = true
		}
		for _, role := range []struct {
			name string
			self int
		}{{"home", 0}, {"follower", n - 1}} {
			b.Run(fmt.Sprintf("%s/instances=%d", role.name, n), func(b *testing.B) {
				now := time.Unix(1_700_000_000, 0)
				t := New(Config{Self: v.Preferred[role.self], Pool: "models"})
				first := v.Preferred[0]
				rec := Record{Epoch: 1, Home: first.ID, Address: first.Address, Candidates: v.Preferred[:8]}
				t.ReadDone(now, now, rec, 1, true)
				reads := 0
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					now = now.Add(10 * time.Millisecond)
					for _, a := range t.Step(now, v) {
						if a.Kind == Read {
							reads++
							t.ReadDone(now, now, rec, 1, true)
						}
					}
				}
				b.ReportMetric(float64(reads)/(float64(b.N)/100), "reads/s")
			})
		}
	}
}

// BenchmarkTakeover measures, in simulated time over 100 seeds, how long a pool of four instances has no home that
// may grant: after a planned hand-over, after the home was replaced immediately, and after the home, alone or
// together with the next instance in rendezvous order, stops showing progress while it is still listed. The time
// until the first load report is not included.
func BenchmarkTakeover(b *testing.B) {
	for _, loss := range []struct {
		name string
		do   func(sim *simulation, n *node)
	}{
		{"handed-over", func(_ *simulation, n *node) {
			n.leaving = true
			n.Stop(n.clock())
		}},
		{"ended", func(sim *simulation, n *node) { sim.start(n.slot) }},
		{"paused", func(sim *simulation, n *node) { n.pausedUntil = sim.now + time.Hour }},
		{"two-paused", func(sim *simulation, n *node) {
			n.pausedUntil = sim.now + time.Hour
			for _, next := range sim.nodes { // View.Preferred is in the order of slots.
				if next != n {
					next.pausedUntil = sim.now + time.Hour
					break
				}
			}
		}},
	} {
		b.Run(loss.name, func(b *testing.B) {
			const seeds = 100
			var sum, most time.Duration
			for seed := range uint64(seeds) {
				sim, n := newSteadySimulation(seed)
				began := sim.now
				loss.do(sim, n)
				for !sim.hasOtherHome(n) && sim.now-began < time.Minute {
					sim.advance()
					if !n.leaving {
						continue
					}
					if rec, last, due := n.Release(n.clock()); due {
						n.swapRecord(Action{Record: rec, ExpectedMod: last}, n.clock())
					}
				}
				sum += sim.now - began
				most = max(most, sim.now-began)
			}
			b.ReportMetric(float64(sum.Milliseconds())/seeds, "mean-ms")
			b.ReportMetric(float64(most.Milliseconds()), "most-ms")
			b.ReportMetric(0, "ns/op") // The number of seeds is not b.N.
		})
	}
}

// hasOtherHome reports whether an instance other than n may grant as home.
func (sim *simulation) hasOtherHome(n *node) bool {
	for _, m := range sim.nodes {
		if m != n && sim.now >= m.pausedUntil && m.MayGrant(m.clock()) && m.ShareDivisor(m.clock()) == 1 {
			return true
		}
	}
	return false
}
