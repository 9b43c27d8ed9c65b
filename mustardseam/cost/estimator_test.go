package cost

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEstimateUsesLimitAndHistory guards against estimates that ignore the caller's limit or the lengths observed for
// the team.
func TestEstimateUsesLimitAndHistory(t *testing.T) {
	var e Estimator
	for range 100 {
		e.Observe("m", "long", 0, 2000)
		e.Observe("m", "short", 0, 20)
	}
	tests := []struct {
		name, route, team string
		limit             int
		low, high         int
	}{
		{"unknown route", "x", "long", 0, defaultDecode, defaultDecode},
		{"limit below the default", "x", "long", 10, 10, 10},
		{"long team", "m", "long", 0, 1500, 2000},
		{"short team", "m", "short", 0, 20, 200},
		{"new team takes the mean of the route", "m", "new", 0, 500, 1500},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := e.Estimate(test.route, test.team, 7, test.limit)
			assert.Equal(t, got.Prefill, 7)
			assert.Assert(t, got.Decode >= test.low && got.Decode <= test.high, "decode %d", got.Decode)
		})
	}
}

// TestEstimatorMemoryIsBounded guards against memory that grows with the number of distinct keys.
func TestEstimatorMemoryIsBounded(t *testing.T) {
	var e Estimator
	for i := range 3 * maxKeys {
		e.Observe("m", fmt.Sprint(i), 0, 1)
	}
	assert.Equal(t, len(e.means), maxKeys)
}
