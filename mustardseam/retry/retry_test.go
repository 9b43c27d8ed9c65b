package retry

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The fixed seed makes the result depend only on the source code.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestBudgetBoundsRetryRatio guards against retry storms: the attempts per request must stay below 1.1 after every step
// of any sequence of first attempts and retries.
func TestBudgetBoundsRetryRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		first, retries := map[string]int{}, map[string]int{}
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			team := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
			if rapid.Bool().Draw(t, "first") {
				b.First("r", team)
				first[team]++
			} else if b.Allow("r", team) {
				retries[team]++
			}
			assert.Assert(t, float64(retries[team]) <= 0.1*float64(first[team]))
		}
	})
}

// TestDelayBounds guards against delays beyond the cap or the deadline.
func TestDelayBounds(t *testing.T) {
	tests := []struct {
		name    string
		attempt int
		left    time.Duration
		random  float64
		want    time.Duration
		ok      bool
	}{
		{"first", 1, time.Minute, 0.5, 25 * time.Millisecond, true},
		{"doubles", 3, time.Minute, 0.5, 100 * time.Millisecond, true},
		{"cap", 60, time.Minute, 0.5, time.Second, true},
		{"deadline", 1, 10 * time.Millisecond, 0.5, 25 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d, ok := Backoff{}.Delay(test.attempt, test.left, test.random)
			assert.Equal(t, d, test.want)
			assert.Equal(t, ok, test.ok)
		})
	}
}
