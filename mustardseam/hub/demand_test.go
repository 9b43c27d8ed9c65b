package hub

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDemandSum guards against demand that is counted twice or lost when reports are repeated, an instance starts again or is
// lost, or the hub is new.
func TestDemandSum(t *testing.T) {
	a := NewAggregator("hub")
	now := time.Unix(1000, 0)
	report := func(run, sequence, arrived int64, waiting int) {
		a.Add(now, Report{
			Instance: "n", Run: run, Sequence: sequence,
			Demand: map[string]Demand{"pool": {Arrived: arrived, Work: float64(10 * arrived), Waiting: waiting}},
		})
	}
	check := func(arrived int64, waiting int) {
		t.Helper()
		assert.Equal(t, a.Demand(now)["pool"], Demand{Arrived: arrived, Work: float64(10 * arrived), Waiting: waiting})
	}
	report(1, 1, 500, 3)
	check(0, 3) // Counted before this hub began.
	report(1, 2, 520, 4)
	check(20, 4)
	report(1, 2, 520, 4)
	check(20, 4)
	report(2, 1, 7, 0)
	check(27, 0)
	a.AddOwnDemand(map[string]Demand{"pool": {Arrived: 5, Work: 50, Waiting: 1}})
	a.AddOwnDemand(map[string]Demand{"pool": {Arrived: 8, Work: 80, Waiting: 2}})
	check(30, 2)
	report(2, 2, 9, 6)
	check(32, 8)
	now = now.Add(3 * time.Second)
	check(32, 2) // The waiting requests of a lost instance are no longer known.
}
