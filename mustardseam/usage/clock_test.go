package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestClockFollowsTheMajority guards against usage that is counted in wrong windows because the clock of a machine was wrong
// when its instance started, also if that instance is the hub.
func TestClockFollowsTheMajority(t *testing.T) {
	trueTime := time.Unix(1_700_000_000, 0)
	tests := []struct {
		name   string
		own    time.Duration // Error of the hub's clock.
		others []time.Duration
		want   time.Duration
		ok     bool
	}{
		{"alone at the start", 0, nil, 0, false},
		{"two clocks", 4 * time.Second, []time.Duration{0}, 4 * time.Second, false},
		{"hub ahead", 4 * time.Second, []time.Duration{0, 0}, 0, true},
		{"hub behind", -4 * time.Second, []time.Duration{0, 0, 4 * time.Second}, 0, true},
		{"others ahead", 0, []time.Duration{0, 0, 4 * time.Second, 4 * time.Second}, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const start = time.Hour
			c := NewClock(trueTime.Add(test.own), start)
			for n, e := range test.others {
				c.Vote(start, string(rune('a'+n)), 1, trueTime.Add(e))
			}
			assert.Equal(t, c.Agree(start), test.ok)
			assert.Equal(t, c.Now(start).Sub(trueTime), test.want)
			assert.Equal(t, c.Agree(start+lonelyTime), true)
		})
	}
}

// TestClockPrefersExactReadings guards against a shift of the windows by the delay of a slow answer of the hub.
func TestClockPrefersExactReadings(t *testing.T) {
	trueTime := time.Unix(1_700_000_000, 0)
	c := NewClock(trueTime.Add(4*time.Second), 0)
	c.Adopt(0, 2*time.Millisecond, 1, trueTime.Add(time.Millisecond))
	assert.Equal(t, c.Now(0).Sub(trueTime), time.Duration(0))
	c.Adopt(0, 200*time.Millisecond, 1, trueTime.Add(199*time.Millisecond))
	assert.Equal(t, c.Now(0).Sub(trueTime), time.Duration(0))
	c.Adopt(0, 200*time.Millisecond, 2, trueTime.Add(199*time.Millisecond))
	assert.Equal(t, c.Now(0).Sub(trueTime), 99*time.Millisecond, "another hub's clock replaces that of the former one")
}
