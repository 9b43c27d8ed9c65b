package member

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// benchRegion is a region in simulated time without message loss. Each instance sends a heartbeat to two random
// peers, to the first four instances, which represent the homes of four models, and to the instances that it
// suspects.
type benchRegion struct {
	now                 time.Time
	rand                *rand.Rand
	entriesPerHeartbeat int // Maximum entries of other instances in a heartbeat.
	tables              []*Table
	byIncarnation       map[string]*Table
	heartbeatCount      int // Heartbeats sent.
	entryCount          int // Entries in them, including the senders' own.
	byteCount           int // Encoded bytes of the entries.
	probeCount          int // Heartbeats sent to suspected instances.
}

const (
	regionHomes   = 4
	regionFanOut  = 2
	regionEntries = 16 // Entries of other instances in a heartbeat, as the instances configure it.
)

func newBenchRegion(n, entries int) *benchRegion {
	g := &benchRegion{now: start, entriesPerHeartbeat: entries, rand: rand.New(rand.NewPCG(uint64(n), 1)), byIncarnation: map[string]*Table{}}
	var list []ListEntry
	for i := range n {
		m := Member{ID: fmt.Sprintf("entry-%03d", i), Address: fmt.Sprintf("10.20.%d.%d:7401", i/250, i%250), DataCentre: "centre-1", Revision: 2500}
		m.Incarnation = NewIncarnation(m.ID, start, uint32(i)*2654435761)
		t := New(Config{Self: m})
		g.tables = append(g.tables, t)
		g.byIncarnation[m.Incarnation] = t
		list = append(list, ListEntry{ID: m.ID, Address: m.Address, DataCentre: m.DataCentre})
	}
	for _, t := range g.tables {
		for _, o := range g.tables {
			o.ApplyEntry(start, t.self)
		}
		t.ApplyList(start, list)
	}
	return g
}

// step simulates one interval of 500 ms.
func (g *benchRegion) step() {
	g.now = g.now.Add(500 * time.Millisecond)
	for _, t := range g.tables {
		own, entries := t.NextOwnEntry(g.now), t.NextEntries(g.now, g.entriesPerHeartbeat)
		to := map[string]bool{}
		suspects := t.Suspected(g.now)
		g.probeCount += len(suspects)
		for _, m := range append(t.NextReceivers(g.rand, regionFanOut), suspects...) {
			to[m.Incarnation] = true
		}
		for _, h := range g.tables[:regionHomes] {
			to[h.self.Incarnation] = true
		}
		delete(to, own.Incarnation)
		b, err := json.Marshal(append([]Member{own}, entries...))
		if err != nil {
			panic(err)
		}
		for inc := range to {
			peer := g.byIncarnation[inc]
			if peer == nil {
				continue // Known only from the list.
			}
			g.heartbeatCount++
			g.entryCount += 1 + len(entries)
			g.byteCount += len(b)
			peer.ApplyEntry(g.now, own)
			for _, m := range entries {
				peer.ApplyEntry(g.now, m)
			}
			t.ApplyEntry(g.now, peer.self)
			t.ApplyProbe(g.now, inc, true)
		}
	}
}

// countFailed returns the number of failed members over all tables. Each of these instances is running.
func (g *benchRegion) countFailed() (n int) {
	for _, t := range g.tables {
		n += len(t.Failed(g.now))
	}
	return n
}

// BenchmarkRegion measures the heartbeats of a whole region: messages sent, bytes of their entries and probes of live
// members that are suspected, each per instance and interval of 500 ms, and the time per instance and interval.
func BenchmarkRegion(b *testing.B) {
	for _, size := range []struct{ members, entries int }{{8, regionEntries}, {50, regionEntries}, {50, 32}, {50, 49}, {350, regionEntries}} {
		n := size.members
		b.Run(fmt.Sprintf("members=%d/news=%d", n, size.entries), func(b *testing.B) {
			g := newBenchRegion(n, size.entries)
			for range 20 {
				g.step()
			}
			g.heartbeatCount, g.entryCount, g.byteCount, g.probeCount = 0, 0, 0, 0
			failed, steps := 0, max(1, min(b.N, 4000/n))
			b.ResetTimer()
			for range steps {
				g.step()
				b.StopTimer()
				failed += g.countFailed()
				b.StartTimer()
			}
			per := float64(steps * n)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/per, "ns/instance")
			b.ReportMetric(float64(g.heartbeatCount)/per, "beats/instance")
			b.ReportMetric(float64(g.probeCount)/per, "probes/instance")
			b.ReportMetric(float64(g.byteCount)/float64(g.heartbeatCount), "entries-B/beat")
			b.ReportMetric(float64(g.entryCount)/float64(g.heartbeatCount), "entries/beat")
			b.ReportMetric(float64(failed)/per, "failed/instance")
			b.ReportMetric(0, "ns/op") // The number of steps is not b.N.
		})
	}
}

// BenchmarkMemory measures the heap bytes of a table, including its share of the names.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{8, 50, 350} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			before := heapBytes()
			g := newBenchRegion(n, regionEntries)
			b.ReportMetric(float64(heapBytes()-before)/float64(n), "held-B/table")
			runtime.KeepAlive(g)
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

// BenchmarkTable measures the queries that the home's loop makes 100 times a second per pool on every instance, and
// the processing of one heartbeat with 16 entries.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{8, 50, 350} {
		g := newBenchRegion(n, regionEntries)
		t := g.tables[0]
		calls := []struct {
			name string
			call func(i int)
		}{
			{"live", func(int) { t.Live(g.now) }},
			{"preferred", func(int) { t.Preferred(g.now, "models") }},
			{"dump", func(int) { t.Dump(g.now) }},
			{"view", func(int) { buildView(t, g.now) }},
			{"heard", func(i int) {
				for k := range min(n-1, regionEntries) {
					m := g.tables[1+(i+k)%(n-1)].self
					m.Counter = uint64(i + 2)
					t.ApplyEntry(g.now, m)
				}
			}},
		}
		for _, c := range calls {
			b.Run(fmt.Sprintf("%s/members=%d", c.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					c.call(i)
				}
			})
		}
	}
}

// buildView does the work of an instance's home loop to describe the region to the tenure of a pool: the rendezvous
// order, the state of each member, and the sets derived from them.
func buildView(t *Table, now time.Time) (listed, suspected, leaving map[string]bool) {
	listed, suspected, leaving = map[string]bool{}, map[string]bool{}, map[string]bool{}
	preferred := []Member{}
	for _, m := range t.Preferred(now, "models") {
		preferred = append(preferred, Member{ID: m.Incarnation, Address: m.Address})
	}
	for _, line := range t.Dump(now).Members {
		listed[line.Incarnation] = line.Listed
		if line.State != Alive {
			suspected[line.Incarnation] = true
		}
		if line.Leaving {
			leaving[line.Incarnation] = true
		}
	}
	return listed, suspected, leaving
}
