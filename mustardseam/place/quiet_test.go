package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// TestQuiet guards against requests to a backend server within the time for which it wants none from an instance, and
// against a time that outlives it or binds instances that were not asked.
func TestQuiet(t *testing.T) {
	const quiet = 2 * time.Second
	born := &fleet.Server{ID: "s", Service: "pool", DataCentre: "a", Slots: 4, Address: "10.0.0.1:80", Born: 1}
	reborn := *born
	reborn.Born = 2
	other := *born
	other.ID = "t"
	tests := []struct {
		name     string
		at       time.Duration
		server   *fleet.Server
		instance string
		again    time.Duration // When it asks once more, for half of the time; 0 for never.
		restart  bool
		want     bool
	}{
		{"at once", fullPause, born, "", 0, false, false},
		{"before the end", quiet - 1, born, "", 0, false, false},
		{"after the end", quiet, born, "", 0, false, true},
		{"asked for less later", quiet - 1, born, "", time.Second / 2, false, false},
		{"started again", fullPause, &reborn, "", 0, false, true},
		{"another one at the address", fullPause, &other, "", 0, false, true},
		{"another instance", fullPause, born, "n1", 0, false, true},
		{"instance started again", fullPause, born, "", 0, true, true},
	}
	for _, test := range tests {
		for _, svc := range []*fleet.Service{engine, plain} {
			t.Run(test.name+" "+svc.Name, func(t *testing.T) {
				b := NewBoard(BoardConfig{})
				refuse := func(at time.Time, d time.Duration) {
					j := job(10, 10)
					b.Start(at, born, j)
					b.Finish(at, svc, born, j, Outcome{Refused: true, Quiet: d})
				}
				refuse(start, quiet)
				if test.again > 0 {
					refuse(start.Add(test.again), quiet/2)
				}
				if test.restart {
					b = NewBoard(BoardConfig{})
				}
				j := job(10, 10)
				j.Instance = test.instance
				c := Candidates{Service: svc, Servers: []*fleet.Server{test.server}}
				got := b.Choose(start.Add(test.at), c, j, 2, false) != nil
				assert.Equal(t, got, test.want)
				assert.Equal(t, b.Quiet(start.Add(test.at), c, j) == 0, test.want)
			})
		}
	}
}

// TestRefuseQuiet guards against requests that wait for backend servers that want nothing until the caller has given up,
// and against refusals that do not say when to come back.
func TestRefuseQuiet(t *testing.T) {
	tests := []struct {
		name  string
		quiet time.Duration
		after time.Duration // 0 when the job may wait.
	}{
		{"none is quiet", 0, 0},
		{"short", time.Second, 0},
		{"longer than the wait", 2500 * time.Millisecond, 2500 * time.Millisecond},
		{"longer than callers stay away", time.Hour, 10 * time.Second / 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := RefuseQuiet(start, job(10, 10), test.quiet)
			if test.after == 0 {
				assert.Assert(t, r == nil)
				return
			}
			assert.Equal(t, r.After.Round(time.Millisecond), test.after.Round(time.Millisecond))
		})
	}
}
