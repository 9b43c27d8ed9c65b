package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// lateJob returns a job that has missed its objective and may wait for long.
func lateJob(fingerprint uint64) *placement.Job {
	j := testJob(2) // Its tier may not wait at an engine.
	j.Objective, j.Fingerprint = j.Arrived.Add(-time.Second), fingerprint
	return j
}

// TestReturnAtAnotherInstance guards against a request that loses its place because it returns at an instance that did not
// refuse it, and against one that keeps it only until the hub is replaced.
func TestReturnAtAnotherInstance(t *testing.T) {
	tests := []struct {
		name    string
		newHub  bool
		refused int // Instance that refused the request.
	}{
		{"same hub", false, 0},
		{"new hub", true, 0},
		{"same instance", false, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cluster := newTestCluster(t, 2)
			first, second := cluster.instances[test.refused], cluster.instances[1].scheduler
			var grants []*Grant
			for range 2 {
				g, err := second.Acquire(context.Background(), "pool", testJob(0))
				assert.NilError(t, err)
				grants = append(grants, g)
			}
			_, atHub := second.ReturnsExpected(time.Now())
			assert.Assert(t, !atHub)
			const fingerprint = 7
			now := time.Now()
			first.scheduler.ExpectReturn(now, fingerprint, placement.NewReturn(now, now.Add(-time.Second), time.Microsecond))
			eventually(t, "expected at the hub", 1, cluster.hub.Returning)
			if test.newHub {
				cluster.hub.mu.Lock()
				cluster.hub.returning = placement.ReturnTable{}
				cluster.hub.mu.Unlock()
				first.placementClient.mu.Lock()
				first.placementClient.forgetHub()
				first.placementClient.mu.Unlock()
				first.placementClient.signalSend()
				eventually(t, "expected at the new hub", 1, cluster.hub.Returning)
			}
			order := make(chan string, 2)
			wait := func(name string, fingerprint uint64) {
				waiting := cluster.queuedAtHub()
				go func() {
					g, err := second.Acquire(context.Background(), "pool", lateJob(fingerprint))
					if err != nil {
						order <- err.Error()
						return
					}
					order <- name
					second.Finish(g, placement.Outcome{Answered: true, OK: true, FirstEvent: true})
				}()
				eventually(t, "queued requests", waiting+1, cluster.queuedAtHub)
			}
			wait("new", 8)
			_, atHub = second.ReturnsExpected(time.Now())
			assert.Assert(t, atHub)
			wait("returned", fingerprint)
			assert.Equal(t, cluster.hub.ReturnsRecognized(), 1)
			second.Finish(grants[0], placement.Outcome{Answered: true, OK: true, FirstEvent: true})
			assert.Equal(t, <-order, "returned")
			assert.Equal(t, <-order, "new")
		})
	}
}

// TestReturnMessageKeepsTimes guards against times that change on the way to the hub.
func TestReturnMessageKeepsTimes(t *testing.T) {
	now := time.Now()
	r := placement.NewReturn(now, now.Add(-time.Second), 2*time.Second)
	got := decodeReturn(now, encodeReturn(now, 7, r))
	assert.Assert(t, got.FirstArrival.Equal(r.FirstArrival) && got.From.Equal(r.From) && got.Until.Equal(r.Until), "%v", got)
	j := testJob(0).WithReturn(now.Add(-time.Second))
	encoded := encodeRequest(now, 1, &undecidedRequest{service: "pool", job: j})
	assert.Assert(t, encoded.Returned && encoded.FirstAgeMS == 1000)
	assert.Equal(t, encodeRequest(now, 1, &undecidedRequest{service: "pool", job: testJob(0)}).Returned, false)
}

// TestRefusalOfHubTellsCause guards against refusals of the hub whose cause and attempt the instance does not learn.
func TestRefusalOfHubTellsCause(t *testing.T) {
	cluster := newTestCluster(t, 1)
	for range 2 {
		_, err := cluster.instances[0].scheduler.Acquire(context.Background(), "pool", testJob(0))
		assert.NilError(t, err)
	}
	j := testJob(0).WithReturn(time.Now().Add(-time.Second))
	j.Deadline = time.Now().Add(-time.Millisecond)
	_, err := cluster.instances[0].scheduler.Acquire(context.Background(), "pool", j)
	var r *placement.Refusal
	assert.Assert(t, errors.As(err, &r), "%v", err)
	assert.Equal(t, r.Cause, placement.CauseNoTime)
	assert.Assert(t, r.Returned)
}

// TestNothingExpectedKeepsMessages guards against messages that change although nothing was refused.
func TestNothingExpectedKeepsMessages(t *testing.T) {
	cluster := newTestCluster(t, 1)
	changed := make(chan hub.PlacementUpdate, 10)
	cluster.intercept(func(update hub.PlacementUpdate, answer func() hub.PlacementResponse) (hub.PlacementResponse, error) {
		r := answer()
		if r.Returning || len(update.Returning) > 0 {
			changed <- update
		}
		for _, req := range update.Requests {
			if req.Fingerprint != 0 || req.Returned || req.Resumed {
				changed <- update
			}
		}
		return r, nil
	})
	for range 5 {
		g, err := cluster.instances[0].scheduler.Acquire(context.Background(), "pool", testJob(0))
		assert.NilError(t, err)
		cluster.instances[0].scheduler.Finish(g, placement.Outcome{Answered: true, OK: true, FirstEvent: true})
	}
	assert.Equal(t, len(changed), 0)
}
