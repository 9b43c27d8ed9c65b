package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRecentDurations guards against a summary of too few, or of outdated, durations.
func TestRecentDurations(t *testing.T) {
	var r recentDurations
	add := func(n int, d time.Duration) {
		for range n {
			r.add(d)
		}
	}
	add(minDurations-1, time.Second)
	assert.Equal(t, r.summary(minDurations), durationSummary{})
	add(1, time.Minute)
	assert.Equal(t, r.summary(minDurations), durationSummary{median: time.Second, longest: time.Minute, known: true})
	add(recentDurationCount-1, 2*time.Second)
	assert.Equal(t, r.summary(minDurations), durationSummary{median: 2 * time.Second, longest: time.Minute, known: true})
	add(1, 3*time.Second)
	assert.Equal(t, r.summary(minDurations), durationSummary{median: 2 * time.Second, longest: 3 * time.Second, known: true})
}

// TestRouteDurationsAreForgotten guards against state of routes that are no longer used.
func TestRouteDurationsAreForgotten(t *testing.T) {
	d, now := newRouteDurations(), time.Unix(1000, 0)
	for n := range minDurations {
		d.record(now.Add(time.Duration(n)*time.Second), "a", now, now.Add(time.Duration(n)*time.Second/2))
	}
	s := d.summary("a")
	assert.Equal(t, s.total.longest, 7*time.Second)
	assert.Equal(t, s.run.longest, 3500*time.Millisecond)
	d.sweep(now.Add(routeDurationsAge))
	assert.Equal(t, len(d.routes), 1)
	d.sweep(now.Add(routeDurationsAge + 8*time.Second))
	assert.Equal(t, len(d.routes), 0)
}

// TestStreamBoundNeedsManyStreams guards against a pace that is taken from a few streams, which may all have met fast backend servers.
func TestStreamBoundNeedsManyStreams(t *testing.T) {
	d, now := newRouteDurations(), time.Unix(1000, 0)
	for n := range minStreams {
		_, bounded := d.summary("a").streamBound(100)
		assert.Assert(t, !bounded, "after %d streams", n)
		d.recordStream(now, "a", 100*time.Millisecond, 10*time.Millisecond)
	}
	bound, bounded := d.summary("a").streamBound(100)
	assert.Assert(t, bounded)
	assert.Equal(t, bound, 1100*time.Millisecond+durationSlack)
}
