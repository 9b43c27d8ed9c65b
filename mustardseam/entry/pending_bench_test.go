package entry

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTrackRequest measures what a planned stop costs each request, and summaries of the durations of its route.
func BenchmarkTrackRequest(b *testing.B) {
	const routes = 1000
	now := time.Now()
	names := make([]string, routes)
	for n := range names {
		names[n] = fmt.Sprintf("route-%d", n)
	}
	b.Run("request", func(b *testing.B) {
		p, d := newPendingRequests(), newRouteDurations()
		b.ReportAllocs()
		for n := 0; b.Loop(); n++ {
			r := &pendingRequest{stopRequest: stopRequest{received: now, deadline: now}, route: names[n%routes]}
			p.add(r)
			_ = r.beginWait() && r.beginSend(now)
			p.remove(r)
			d.record(now, r.route, now, now)
		}
	})
	b.Run("route", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			d := newRouteDurations()
			for range recentDurationCount {
				d.record(now, names[0], now, now)
			}
		}
	})
	b.Run("summary", func(b *testing.B) {
		d := newRouteDurations()
		for n := range recentDurationCount {
			d.record(now, names[0], now.Add(-time.Duration(n)), now)
		}
		b.ReportAllocs()
		for b.Loop() {
			d.summary(names[0])
		}
	})
}
