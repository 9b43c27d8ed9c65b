package entry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

// TestFullFleet guards against a look at all backend servers for each of many waiting requests whenever one ends, which
// took a hub's processor under overload.
func TestFullFleet(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name      string
		servers   []*fleet.Server
		instances int
		looks     int // At most.
	}{
		{"warm", nil, 1, 4},
		{"with cold ones that have their share", coldServers(now), 1, 4},
		{"with cold ones, for 10 instances", coldServers(now), 10, 14},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { testFullFleet(t, now, test.servers, test.instances, test.looks) })
	}
}

// coldServers returns engines that bear nothing yet.
func coldServers(now time.Time) (list []*fleet.Server) {
	for i := range 14 {
		list = append(list, &fleet.Server{ID: fmt.Sprintf("c%d", i), Service: "pool", Slots: 1, ColdUntil: now.Add(time.Hour)})
	}
	return list
}

func testFullFleet(t *testing.T, now time.Time, cold []*fleet.Server, instances, most int) {
	t.Helper()
	config := fleet.NewConfig(1, nil, []fleet.Service{{Name: "pool", Engine: true, Stride: 4, ColdRate: 1}}, nil, fleet.Limits{})
	v := fleet.NewView().With(fleet.Change{Config: config}).
		With(fleet.Change{Server: &fleet.Server{ID: "s0", Service: "pool", Slots: 1}})
	for _, srv := range cold {
		v = v.With(fleet.Change{Server: srv})
	}
	looks := 0
	s := newScheduler(schedulerConfig{node: "n0", view: func() *fleet.View {
		looks++
		return v
	}})
	var grants []*Grant
	for i := range 200 {
		j := placingJob(i % 4)
		if i > 0 {
			j.Instance = fmt.Sprintf("n%d", 1+i%instances)
		}
		j.Arrived, j.Objective = now, now.Add(time.Hour)
		s.mu.Lock()
		s.ask(now, "pool", j, func(g *Grant, _ *place.Refusal) {
			if g != nil {
				grants = append(grants, g)
			}
		})
		s.mu.Unlock()
	}
	assert.Equal(t, len(grants), 1)
	looks = 0
	s.Finish(grants[0], place.Outcome{Answered: true, OK: true, First: true})
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, len(grants), 2)
	assert.Assert(t, looks <= most, "%d looks at the backend servers", looks)
}
