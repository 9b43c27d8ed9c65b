package outage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/measure/site"
)

func short(seed uint64, dies time.Duration) *World {
	w := New(Config{
		Site: site.Tokachi(), Seed: seed, From: 30 * time.Second, To: 60 * time.Second, HomeDies: dies,
		End: 90 * time.Second, Rate: 4, LostAt: 0.3, LostOn: 0.1,
	})
	w.Clock.At(20*time.Second, func() { w.Submit(7) })
	w.Clock.At(40*time.Second, func() { w.Submit(8) })
	w.Run()
	return w
}

// TestOutage guards against keyed requests that run twice or are falsely called not run, and against runs of one seed
// that differ.
func TestOutage(t *testing.T) {
	for _, dies := range []time.Duration{0, 40 * time.Second} {
		w, again := short(3, dies), short(3, dies)
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

// TestSpread guards against a configuration that counts as in force everywhere while an instance lacks it.
func TestSpread(t *testing.T) {
	var s Spread
	live := []*instance{{id: "a"}, {id: "b"}, {id: "c", dead: true}}
	s.begin(time.Second)
	s.note(2*time.Second, "a", true)
	s.settle(live)
	assert.Equal(t, s.Open, 1)
	s.note(4*time.Second, "b", true)
	s.note(9*time.Second, "b", true)
	s.settle(live)
	assert.Equal(t, s.Open, 0)
	assert.Equal(t, s.Worst, 3*time.Second)
}
