package outage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/measure/site"
)

func runShortOutage(seed uint64, homeDies time.Duration) *World {
	w := New(Config{
		Site: site.Tokachi(), Seed: seed, From: 30 * time.Second, To: 60 * time.Second, HomeDies: homeDies,
		End: 90 * time.Second, Rate: 4, LostAt: 0.3, LostOn: 0.1,
	})
	w.Clock.At(20*time.Second, func() { w.Submit(7) })
	w.Clock.At(40*time.Second, func() { w.Submit(8) })
	w.Run()
	return w
}

// TestKeyedRequestsRunOnceDuringOutage guards against keyed requests that run twice or are falsely answered as not run
// during a store outage, and against differing results for the same seed.
func TestKeyedRequestsRunOnceDuringOutage(t *testing.T) {
	for _, homeDies := range []time.Duration{0, 40 * time.Second} {
		w, again := runShortOutage(3, homeDies), runShortOutage(3, homeDies)
		answered := 0
		for i, r := range w.Requests {
			assert.DeepEqual(t, r, again.Requests[i])
			assert.Assert(t, r.Key == "" || r.Runs <= 1, "%s ran %d times", r.ID, r.Runs)
			if r.Final == Answered {
				answered++
			}
		}
		assert.Assert(t, answered > len(w.Requests)/2, "%d of %d answered", answered, len(w.Requests))
		assert.Equal(t, w.Tally.FalseNotRun, 0)
		assert.Equal(t, w.Tally.Accepted, 0)
		assert.Equal(t, w.Config.Count, 1, "the submission during the outage is not accepted")
	}
}

// TestSpreadWaitsForAllLiveInstances guards against an update that counts as complete while a live instance lacks it.
func TestSpreadWaitsForAllLiveInstances(t *testing.T) {
	var s Spread
	live := []*instance{{id: "a"}, {id: "b"}, {id: "c", dead: true}}
	s.begin(time.Second)
	s.record(2*time.Second, "a", true)
	s.completeIfReceived(live)
	assert.Equal(t, s.Open, 1)
	s.record(4*time.Second, "b", true)
	s.record(9*time.Second, "b", true)
	s.completeIfReceived(live)
	assert.Equal(t, s.Open, 0)
	assert.Equal(t, s.Worst, 3*time.Second)
}
