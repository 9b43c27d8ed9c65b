package pool

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/mustardseam/mustardseam/operator"
)

var sizes = []struct{ servers, teams int }{{24, 5}, {240, 50}, {2400, 510}}

func sized(servers, teams int) Config {
	cfg := testConfig(servers, 16, 2, 4096)
	for i := range teams {
		cfg.Teams = append(cfg.Teams, operator.Team{Name: fmt.Sprint("team", i), Weight: float64(1 + i%4)})
	}
	return cfg
}

// BenchmarkMemory measures the heap of a pool without requests, as every instance holds it, and that of a home with 16
// requests on each server and 2,000 waiting ones of all teams.
func BenchmarkMemory(b *testing.B) {
	for _, size := range sizes {
		name := fmt.Sprintf("servers=%d/teams=%d", size.servers, size.teams)
		b.Run("idle/"+name, func(b *testing.B) {
			cfg := sized(size.servers, size.teams)
			before := heapBytes()
			p := New(cfg)
			b.ReportMetric(float64(heapBytes()-before), "held-B")
			runtime.KeepAlive(p)
		})
		b.Run("loaded/"+name, func(b *testing.B) {
			l := newLoad(size.servers, size.teams, 1)
			before := heapBytes()
			for l.next < 16*size.servers || l.pool.queue.Len() < 2000 {
				l.submit()
			}
			b.ReportMetric(float64(heapBytes()-before), "held-B")
			b.ReportMetric(float64(l.next), "requests")
			runtime.KeepAlive(l)
		})
	}
}

// BenchmarkTick measures what the home's loop does each 10 ms without news, and a load report.
func BenchmarkTick(b *testing.B) {
	for _, size := range sizes {
		name := fmt.Sprintf("servers=%d/teams=%d", size.servers, size.teams)
		l := newLoad(size.servers, size.teams, 1)
		for l.pool.queue.Len() < 2000 {
			l.submit()
		}
		b.Run("decide/"+name, func(b *testing.B) {
			for range b.N {
				l.now = l.now.Add(10e6)
				l.pool.Decide(l.now)
			}
		})
		b.Run("report/"+name, func(b *testing.B) {
			for i := range b.N {
				l.pool.Report(l.now, Report{Server: fmt.Sprint("s", i%size.servers), Sequence: uint64(i + 2), Version: "v1", Running: 16})
			}
		})
		b.Run("configure/"+name, func(b *testing.B) {
			cfg := sized(size.servers, size.teams)
			for range b.N {
				l.pool.Configure(l.now, cfg)
			}
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
