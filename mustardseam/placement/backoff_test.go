package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// TestBackoffRespected guards against requests from an instance to a backend server that asked it to back off, and
// against a backoff that outlives the backend server or applies to instances that were not asked.
func TestBackoffRespected(t *testing.T) {
	const backoff = 2 * time.Second
	original := &fleet.Server{ID: "s", Service: "pool", DataCentre: "a", Slots: 4, Address: "10.0.0.1:80", StartMS: 1}
	restarted := *original
	restarted.StartMS = 2
	other := *original
	other.ID = "t"
	tests := []struct {
		name           string
		at             time.Duration
		server         *fleet.Server
		instance       string
		refusedAgainAt time.Duration // Time of a second refusal with half the backoff; 0 for none.
		restart        bool
		want           bool
	}{
		{"at once", fullRetryDelay, original, "", 0, false, false},
		{"before the end", backoff - 1, original, "", 0, false, false},
		{"after the end", backoff, original, "", 0, false, true},
		{"asked for less later", backoff - 1, original, "", time.Second / 2, false, false},
		{"started again", fullRetryDelay, &restarted, "", 0, false, true},
		{"another one at the address", fullRetryDelay, &other, "", 0, false, true},
		{"another instance", fullRetryDelay, original, "n1", 0, false, true},
		{"instance started again", fullRetryDelay, original, "", 0, true, true},
	}
	for _, test := range tests {
		for _, svc := range []*fleet.Service{engineService, plainService} {
			t.Run(test.name+" "+svc.Name, func(t *testing.T) {
				b := NewBoard(BoardConfig{})
				refuse := func(at time.Time, d time.Duration) {
					j := job(10, 10)
					b.Start(at, original, j)
					b.Finish(at, svc, original, j, Outcome{NotRun: true, Backoff: d})
				}
				refuse(start, backoff)
				if test.refusedAgainAt > 0 {
					refuse(start.Add(test.refusedAgainAt), backoff/2)
				}
				if test.restart {
					b = NewBoard(BoardConfig{})
				}
				j := job(10, 10)
				j.Instance = test.instance
				c := Candidates{Service: svc, Servers: []*fleet.Server{test.server}}
				got := b.Choose(start.Add(test.at), c, j, 2, false) != nil
				assert.Equal(t, got, test.want)
				assert.Equal(t, b.BackoffLeft(start.Add(test.at), c, j) == 0, test.want)
			})
		}
	}
}

// TestRefuseLongBackoff guards against requests that wait for backend servers in backoff until the caller gives up, and
// against refusals without the time of the retry.
func TestRefuseLongBackoff(t *testing.T) {
	tests := []struct {
		name       string
		backoff    time.Duration
		retryAfter time.Duration // Expected retry delay; 0 if the job may wait.
	}{
		{"no backoff", 0, 0},
		{"short", time.Second, 0},
		{"longer than the wait", 4 * time.Second, 4 * time.Second},
		{"longer than callers stay away", time.Hour, 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			j := job(10, 10) // Its caller stays for 4 s.
			j.Deadline = start.Add(15 * time.Second)
			r := RefuseBackoff(start, j, test.backoff)
			if test.retryAfter == 0 {
				assert.Assert(t, r == nil)
				return
			}
			assert.Equal(t, r.RetryAfter.Round(time.Millisecond), test.retryAfter.Round(time.Millisecond))
		})
	}
}
