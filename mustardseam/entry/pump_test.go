package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

// TestFullFleet guards against a look at all backend servers for each of many waiting requests whenever one ends, which
// took a hub's processor under overload.
func TestFullFleet(t *testing.T) {
	config := fleet.NewConfig(1, nil, []fleet.Service{{Name: "pool", Engine: true, Stride: 4}}, nil, fleet.Limits{})
	v := fleet.NewView().With(fleet.Change{Config: config}).
		With(fleet.Change{Server: &fleet.Server{ID: "s0", Service: "pool", Slots: 1}})
	looks := 0
	s := newScheduler(schedulerConfig{node: "n0", view: func() *fleet.View {
		looks++
		return v
	}})
	now := time.Now()
	var grants []*Grant
	for i := range 200 {
		j := placingJob(i % 4)
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
	assert.Assert(t, looks <= 4, "%d looks at the backend servers", looks)
}
