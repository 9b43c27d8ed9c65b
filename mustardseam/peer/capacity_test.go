package peer

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/member"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// BenchmarkBatch measures a round trip over loopback for messages of different sizes: heartbeats with the homes of
// four pools, in which one entry in ten has all details, and messages with several outcomes. The byte counts exclude
// TCP and IP headers.
func BenchmarkBatch(b *testing.B) {
	id := func(n int) string { return fmt.Sprintf("entry-%03d.0060a1f00c9f3b.2c11a4f0", n) }
	beat := func(entries int) Heartbeat {
		h := Heartbeat{Proto: CurrentProto(), Revision: 2500, Digest: fmt.Sprintf("%064d", 7), Homes: map[string]HomeRef{}}
		h.From = member.Member{ID: "entry-001", Incarnation: id(1), Address: "10.20.30.40:7401", DataCentre: "centre-1", Counter: 100_000, Revision: 2500}
		for n := range entries {
			m := member.Member{Incarnation: id(n), Counter: 100_000}
			if n%10 == 0 {
				m = h.From
			}
			h.Members = append(h.Members, m)
		}
		for n := range 4 {
			h.Homes[fmt.Sprint("model-", n)] = HomeRef{Epoch: 17, Home: id(n), Address: "10.20.30.40:7401"}
		}
		return h
	}
	outcomesRequest := func(outcomes int) OutcomesRequest {
		r := OutcomesRequest{Proto: CurrentProto(), Pool: "model-1", From: id(1), Address: "10.20.30.40:7401"}
		for n := range outcomes {
			r.Outcomes = append(r.Outcomes, pool.Outcome{
				AskID: fmt.Sprint(id(1), "-", n), Result: pool.OK, Status: 200, FirstToken: 300 * time.Millisecond, InterToken: 20 * time.Millisecond, PromptTokens: 400, OutputTokens: 200,
			})
		}
		return r
	}
	for _, n := range []int{0, 4, 16} {
		h, d := beat(n), outcomesRequest(max(1, n))
		benchmarkCall(b, fmt.Sprint("heartbeat/entries=", n), func(c *Client, addr string) error {
			_, err := c.Heartbeat(addr, h)
			return err
		})
		benchmarkCall(b, fmt.Sprint("outcomes=", max(1, n)), func(c *Client, addr string) error {
			_, err := c.Outcomes(addr, d)
			return err
		})
	}
}

func benchmarkCall(b *testing.B, name string, call func(*Client, string) error) {
	b.Run(name, func(b *testing.B) {
		var l *countingListener
		addr := startServer(b, &fakeHandler{}, func(ln net.Listener) net.Listener {
			l = &countingListener{Listener: ln}
			return l
		})
		c := testClient(testKey)
		n := 0
		for b.Loop() {
			if err := call(c, addr); err != nil {
				b.Fatal(err)
			}
			n++
		}
		b.ReportMetric(float64(l.in.Load())/float64(n), "request-B/op")
		b.ReportMetric(float64(l.out.Load())/float64(n), "answer-B/op")
	})
}
