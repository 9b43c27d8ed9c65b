package revision

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/mustardseam/mustardseam/operator"
)

// documentOfSize returns a document with the given numbers of servers and teams, and the tiers, routes and pools of
// document.
func documentOfSize(servers, teams int) operator.Document {
	d := document(servers, 0)
	full := fullSizeDocument()
	d.Teams = append(d.Teams, full.Teams[1:1+teams]...)
	return d
}

var sizes = []struct{ servers, teams int }{{24, 5}, {240, 50}, {2400, 510}}

// BenchmarkDocument measures the work of an instance for a revision fetched as a whole document and for a delta of one
// entry.
func BenchmarkDocument(b *testing.B) {
	for _, size := range sizes {
		rounds := func(b *testing.B, call func() error) {
			n := max(1, min(b.N, 48_000/size.servers)) // The largest document takes tens of milliseconds.
			b.ResetTimer()
			for range n {
				if err := call(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/document")
			b.ReportMetric(0, "ns/op")
		}
		d := documentOfSize(size.servers, size.teams)
		from := config(b, 1, d)
		to := config(b, 2, d.WithBackendServer(d.BackendServers[7].WithLeaving(true)))
		delta := NewDelta(from, to)
		wire, err := json.Marshal(delta)
		if err != nil {
			b.Fatal(err)
		}
		name := fmt.Sprintf("servers=%d/teams=%d", size.servers, size.teams)
		b.Run("decode-and-index/"+name, func(b *testing.B) {
			rounds(b, func() error {
				doc, err := DecodeDocument(to.Packed, to.Digest)
				NewConfig(2, to.Digest, to.Packed, doc)
				return err
			})
			b.ReportMetric(float64(len(to.Packed)), "packed-B")
		})
		b.Run("validate/"+name, func(b *testing.B) {
			rounds(b, d.Validate)
		})
		b.Run("apply-delta/"+name, func(b *testing.B) {
			rounds(b, func() error {
				_, err := ApplyDelta(from, delta)
				return err
			})
			b.ReportMetric(float64(len(wire)), "delta-B")
		})
	}
}

// BenchmarkConfigMemory measures the heap used by a configuration.
func BenchmarkConfigMemory(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("servers=%d/teams=%d", size.servers, size.teams), func(b *testing.B) {
			packed, digest, err := EncodeDocument(documentOfSize(size.servers, size.teams))
			if err != nil {
				b.Fatal(err)
			}
			const n = 4
			held := make([]*Config, n)
			before := heapBytes()
			for i := range held {
				d, err := DecodeDocument(packed, digest)
				if err != nil {
					b.Fatal(err)
				}
				held[i] = NewConfig(1, digest, packed, d)
			}
			b.ReportMetric(float64(heapBytes()-before)/n, "held-B")
			runtime.KeepAlive(held)
		})
	}
}

// BenchmarkHead measures the encoded head after the given number of submissions.
func BenchmarkHead(b *testing.B) {
	for _, n := range []int{1, 16, 64} {
		b.Run(fmt.Sprint("submits=", n), func(b *testing.B) {
			h := Head{}
			for i := range n {
				h = h.withSubmission(AcceptedSubmission{
					ID: fmt.Sprintf("submission-%012d", i), Revision: uint64(i + 1), Author: "operator-on-duty", At: created,
					Digest: operator.KeyHash(fmt.Sprint(i)),
				})
			}
			var value []byte
			for range b.N {
				value, _ = h.encode()
				if _, err := ParseHead(value); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value)), "head-B")
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
