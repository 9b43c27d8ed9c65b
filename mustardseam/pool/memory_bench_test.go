package pool

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/mustardseam/mustardseam/operator"
)

var poolSizes = []struct{ servers, teams int }{{24, 5}, {240, 50}, {2400, 510}}

func sizedConfig(servers, teams int) Config {
	cfg := testConfig(servers, 16, 2, 4096)
	for i := range teams {
		cfg.Teams = append(cfg.Teams, operator.Team{Name: fmt.Sprint("team", i), Weight: float64(1 + i%4)})
	}
	return cfg
}

// BenchmarkMemory measures the heap of a pool without requests, as every instance holds it, and that of a home instance
// with 16 requests on each server and 2,000 waiting requests of all teams.
func BenchmarkMemory(b *testing.B) {
	for _, size := range poolSizes {
		name := fmt.Sprintf("servers=%d/teams=%d", size.servers, size.teams)
		b.Run("idle/"+name, func(b *testing.B) {
			cfg := sizedConfig(size.servers, size.teams)
			before := heapBytes()
			p := New(cfg)
			b.ReportMetric(float64(heapBytes()-before), "held-B")
			runtime.KeepAlive(p)
		})
		b.Run("loaded/"+name, func(b *testing.B) {
			driver := newLoadDriver(size.servers, size.teams, 1)
			before := heapBytes()
			for driver.nextAsk < 16*size.servers || driver.pool.queue.Len() < 2000 {
				driver.submit()
			}
			b.ReportMetric(float64(heapBytes()-before), "held-B")
			b.ReportMetric(float64(driver.nextAsk), "requests")
			runtime.KeepAlive(driver)
		})
	}
}

// BenchmarkTick measures a decision without new events, which the home instance's loop makes every 10 ms, a load report
// and a change of the configuration.
func BenchmarkTick(b *testing.B) {
	for _, size := range poolSizes {
		name := fmt.Sprintf("servers=%d/teams=%d", size.servers, size.teams)
		driver := newLoadDriver(size.servers, size.teams, 1)
		for driver.pool.queue.Len() < 2000 {
			driver.submit()
		}
		b.Run("decide/"+name, func(b *testing.B) {
			for range b.N {
				driver.now = driver.now.Add(10e6)
				driver.pool.Decide(driver.now)
			}
		})
		b.Run("report/"+name, func(b *testing.B) {
			for i := range b.N {
				driver.pool.Report(driver.now, Report{
					Server: fmt.Sprint("s", i%size.servers), Sequence: uint64(i + 2), Version: "v1", Running: 16,
				})
			}
		})
		b.Run("configure/"+name, func(b *testing.B) {
			cfg := sizedConfig(size.servers, size.teams)
			for range b.N {
				driver.pool.Configure(driver.now, cfg)
			}
		})
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
