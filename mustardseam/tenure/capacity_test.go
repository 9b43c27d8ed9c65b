package tenure

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep measures a step of the home and of another instance, for a region of n live and listed instances.
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
				t.Observed(now, now, rec, 1, true)
				reads := 0
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					now = now.Add(10 * time.Millisecond)
					for _, a := range t.Step(now, v) {
						if a.Kind == Read {
							reads++
							t.Observed(now, now, rec, 1, true)
						}
					}
				}
				b.ReportMetric(float64(reads)/(float64(b.N)/100), "reads/s")
			})
		}
	}
}
