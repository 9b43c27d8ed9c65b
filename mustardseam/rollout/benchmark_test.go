package rollout

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mustardseam/mustardseam/operator"
)

// BenchmarkAnalyzer measures one observation, and the heap bytes held by an analyzer that has observed n responses of each
// version.
func BenchmarkAnalyzer(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint("answers=", n), func(b *testing.B) {
			before := heapBytes()
			analyzer := NewAnalyzer(AnalyzerConfig{Old: "old", New: "new"})
			now := start
			observe := func(i int) {
				now = now.Add(11 * time.Millisecond)
				analyzer.Observe(now, Sample{
					Version: [2]string{"old", "new"}[i%2], OK: true, FirstToken: time.Duration(100+i%50) * time.Millisecond,
					InterToken: 20 * time.Millisecond, LoadBucket: i % LoadBuckets,
				})
			}
			for i := range 2 * n {
				observe(i)
			}
			held := heapBytes() - before
			b.ResetTimer()
			for i := range b.N {
				observe(i)
			}
			b.ReportMetric(float64(held), "held-B")
			runtime.KeepAlive(analyzer)
		})
	}
}

// BenchmarkRecord measures the encoding of a record after a number of steps and its size in bytes.
func BenchmarkRecord(b *testing.B) {
	for _, steps := range []int{0, 2, 4} {
		b.Run(fmt.Sprint("steps=", steps), func(b *testing.B) {
			r := NewRecord(start, operator.Route{Name: "sizing", Version: "v1", Rollout: &operator.Rollout{
				ID: "sizing-2026-12-04", To: "v2", CanaryShare: 0.01, Start: start, Deadline: start.Add(time.Hour),
			}})
			for i := range steps {
				r = r.with(start, AdvancedEvent, fmt.Sprint("step ", i+1))
			}
			var value []byte
			for range b.N {
				value, _ = json.Marshal(r)
			}
			b.ReportMetric(float64(len(value)), "record-B")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
