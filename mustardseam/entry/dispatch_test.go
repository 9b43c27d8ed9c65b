package entry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// TestDispatchScansFullFleetOnce guards against a scan of all backend servers for each of many queued requests whenever a
// request ends, which used up a hub's processor time under overload.
func TestDispatchScansFullFleetOnce(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name      string
		servers   []*fleet.Server
		instances int
		maxScans  int // Maximum number of scans.
	}{
		{"warm", nil, 1, 4},
		{"with cold ones at their limit", coldServers(now), 1, 4},
		{"with cold ones, for 10 instances", coldServers(now), 10, 14},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { testDispatchScans(t, now, test.servers, test.instances, test.maxScans) })
	}
}

// coldServers returns cold engines without requests.
func coldServers(now time.Time) (list []*fleet.Server) {
	for i := range 14 {
		list = append(list, &fleet.Server{ID: fmt.Sprintf("c%d", i), Service: "pool", Slots: 1, ColdUntil: now.Add(time.Hour)})
	}
	return list
}

func testDispatchScans(t *testing.T, now time.Time, cold []*fleet.Server, instances, maxScans int) {
	t.Helper()
	config := fleet.NewConfig(1, nil, []fleet.Service{
		{Name: "pool", Engine: true, TokensPerEvent: 4, ColdRate: 1},
	}, nil, fleet.Limits{})
	v := fleet.NewView().With(fleet.Change{Config: config}).
		With(fleet.Change{Server: &fleet.Server{ID: "s0", Service: "pool", Slots: 1}})
	for _, srv := range cold {
		v = v.With(fleet.Change{Server: srv})
	}
	scans := 0
	s := newScheduler(schedulerConfig{instance: "n0", view: func() *fleet.View {
		scans++
		return v
	}})
	var grants []*Grant
	for i := range 200 {
		j := testJob(i % 4)
		if i > 0 {
			j.Instance = fmt.Sprintf("n%d", 1+i%instances)
		}
		j.Arrived, j.Objective = now, now.Add(time.Hour)
		s.mu.Lock()
		s.placeOrQueue(now, "pool", j, func(g *Grant, _ *placement.Refusal) {
			if g != nil {
				grants = append(grants, g)
			}
		})
		s.mu.Unlock()
	}
	assert.Equal(t, len(grants), 1)
	// The timer of the scheduler also dispatches, so it must not run between the two counts.
	s.mu.Lock()
	defer s.mu.Unlock()
	scans = 0
	s.finish(time.Now(), grants[0], placement.Outcome{Answered: true, OK: true, FirstEvent: true})
	s.dispatch(time.Now())
	assert.Equal(t, len(grants), 2)
	assert.Assert(t, scans <= maxScans, "%d scans of the backend servers", scans)
}
