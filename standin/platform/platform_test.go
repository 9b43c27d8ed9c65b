package platform

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestListLag guards against a change that is published without the lag, and against replaced lists that are never
// dropped.
func TestListLag(t *testing.T) {
	p := &Platform{Lag: time.Hour}
	assert.Equal(t, len(p.list()), 0)
	for n := range 3 {
		p.Set(make([]Instance, n+1))
	}
	assert.Equal(t, len(p.list()), 1, "the change is younger than the lag")
	p.SetFaults(Faults{Stuck: true})
	p.Lag = 0
	assert.Equal(t, len(p.list()), 1, "the list is stuck")
	p.SetFaults(Faults{})
	assert.Equal(t, len(p.list()), 3)
	assert.Equal(t, len(p.lists), 1)
}

// TestWeightLoadRate guards against loads above the rate limit, and against a wait that is too short for the next load
// to start.
func TestWeightLoadRate(t *testing.T) {
	p := &Platform{Loads: 2, Period: 10 * time.Second}
	now := time.Unix(100, 0)
	assert.Equal(t, p.startLoad(now), time.Duration(0))
	assert.Equal(t, p.startLoad(now.Add(time.Second)), time.Duration(0))
	assert.Equal(t, p.startLoad(now.Add(4*time.Second)), 6*time.Second)
	assert.Equal(t, p.startLoad(now.Add(10*time.Second)), time.Duration(0))
	assert.Equal(t, (&Platform{}).startLoad(now), time.Second)
}
