package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkList measures over loopback how a new home reads the claims journal, in slots of 220 KB.
func BenchmarkList(b *testing.B) {
	for _, slots := range []int{12, 36, 120} {
		var out rangeResponse
		for n := range slots {
			out.KVs = append(out.KVs, keyValue{Key: fmt.Append(nil, "claims/r/p/", n), Value: bytes.Repeat([]byte("claim"), 44_000)})
		}
		body, err := json.Marshal(out)
		assert.NilError(b, err)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
		c := New(Config{Addresses: []string{s.Listener.Addr().String()}, Timeout: 10 * time.Second})
		b.Run(fmt.Sprint("slots=", slots), func(b *testing.B) {
			rounds := max(1, min(b.N, 480/slots))
			b.ResetTimer()
			for range rounds {
				_, err := c.List(context.Background(), "claims/r/p/")
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(rounds), "ns/list")
			b.ReportMetric(float64(len(body)), "answer-B")
			// The same with the timeout of the home's calls and with three addresses, each of which gets a third of it.
			failed, addr := 0, s.Listener.Addr().String()
			shared := New(Config{Addresses: []string{addr, addr, addr}})
			defer shared.Close()
			for range 5 {
				ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
				if _, err := shared.List(ctx, "claims/r/p/"); err != nil {
					failed++
				}
				cancel()
			}
			b.ReportMetric(float64(failed), "failed-of-5")
			b.ReportMetric(0, "ns/op") // The number of rounds is not b.N, so ns/op would be wrong.
		})
		c.Close()
		s.Close()
	}
}
