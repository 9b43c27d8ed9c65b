package claim

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// driveJournal claims, starts and finishes the given rate of keys per second for the given time. The store answers
// immediately; each write is passed to store.
func driveJournal(j *Journal, rate int, span time.Duration, store func(w Write, mod int64)) {
	now, mod := time.Unix(1_700_000_000, 0), int64(0)
	if err := j.Load(now, now, nil); err != nil {
		panic(err)
	}
	const tick = 10 * time.Millisecond
	id := 0
	var running []string
	for at := time.Duration(0); at < span; at += tick {
		now = now.Add(tick)
		for id < int(at.Seconds()*float64(rate)) {
			j.Claim(now, fmt.Sprintf("%d-order-%09d", now.Unix(), id), fmt.Sprintf("entry-%03d.0060a1f00c9f3b.2c11a4f0-%s", id%50, fmt.Sprint(id)),
				fmt.Sprintf("entry-%03d.0060a1f00c9f3b.2c11a4f0", id%50), ByStore)
			id++
		}
		for len(running) > rate { // A request runs for about one second.
			j.MarkDone(now, running[0], 200, "10.20.30.40:7401")
			running = running[1:]
		}
		w, ok := j.NextWrite(now)
		if !ok {
			continue
		}
		mod++
		store(w, mod)
		for _, a := range j.WriteCommitted(now, w.ID, mod) {
			j.Start(now, a)
			running = append(running, a)
		}
	}
}

// BenchmarkJournal measures 60 s of simulated time at three rates of keyed requests: the time per claim, including
// its start, outcome and share of the writes, and the bytes written to the store.
func BenchmarkJournal(b *testing.B) {
	for _, rate := range []int{10, 90, 360} {
		b.Run(fmt.Sprint("claims-per-second=", rate), func(b *testing.B) {
			const span = 60 * time.Second
			written, writes, slots, last := 0, 0, 0, map[int64]int{}
			driveJournal(New(Config{}), rate, span, func(w Write, _ int64) {
				written += len(w.Value)
				writes++
				slots += len(w.Value) - last[w.Slot]
				last[w.Slot] = len(w.Value)
			})
			claims := float64(rate) * span.Seconds()
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/claims, "ns/claim")
			b.ReportMetric(float64(slots)/claims, "slot-B/claim")
			b.ReportMetric(float64(written)/claims, "written-B/claim")
			b.ReportMetric(float64(writes)/span.Seconds(), "writes/s")
		})
	}
}

// BenchmarkRemembered measures the heap bytes per remembered key.
func BenchmarkRemembered(b *testing.B) {
	for _, keys := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint("keys=", keys), func(b *testing.B) {
			j := New(Config{})
			before := heapBytes()
			driveJournal(j, 100, time.Duration(keys)*time.Second/100, func(Write, int64) {})
			b.ReportMetric(float64(heapBytes()-before)/float64(len(j.entries)), "held-B/key")
			runtime.KeepAlive(j)
		})
	}
}

// BenchmarkLoad measures how long a new home takes to load the slots of earlier homes.
func BenchmarkLoad(b *testing.B) {
	for _, keys := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint("keys=", keys), func(b *testing.B) {
			j := New(Config{})
			last := map[int64]Slot{}
			driveJournal(j, 100, time.Duration(keys)*time.Second/100, func(w Write, mod int64) { last[w.Slot] = Slot{w.Slot, w.Value, mod} })
			var slots []Slot
			bytes := 0
			for _, s := range last {
				slots = append(slots, s)
				bytes += len(s.Value)
			}
			now := time.Unix(1_700_000_000, 0)
			steps := max(1, min(b.N, 100_000/keys))
			b.ResetTimer()
			for range steps {
				if err := New(Config{}).Load(now, now, slots); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(steps*keys), "ns/key")
			b.ReportMetric(float64(bytes), "slots-B")
			b.ReportMetric(0, "ns/op") // The number of steps is not b.N.
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
