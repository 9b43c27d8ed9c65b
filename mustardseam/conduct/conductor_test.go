package conduct

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
)

var start = time.Unix(1000, 0)

// play runs a rollout of 12 seconds with 30 requests a second, of which the target gets its share, and returns the end,
// when it came, and the requests that the target got.
func play(target func(at time.Duration, n int) rollout.Sample) (fleet.Progress, time.Duration, int) {
	c := New(0.1)
	r := fleet.Rollout{Service: "s", Target: "v2", Duration: 12 * time.Second, Revision: 7, Ordered: start}
	p := fleet.Progress{}
	exposed, all := 0, 0
	for at := time.Duration(0); at < 14*time.Second; at += time.Second / 30 {
		now := start.Add(at)
		onOld := 1
		if p.Share >= 1 {
			onOld = 0
		}
		p, _ = c.Next(now, r, p, Facts{Targets: 2, OnOld: onOld})
		if p.State != fleet.InProgress {
			return p, at, exposed
		}
		all++
		route := []string{"a", "b"}[all%2]
		if p.Share >= 1 || float64(exposed) < p.Share*float64(all) {
			exposed++
			c.Observe(now, route, target(at, exposed))
			continue
		}
		c.Observe(now, route, good("v1"))
	}
	return p, 0, exposed
}

func good(version string) rollout.Sample {
	return rollout.Sample{Version: version, OK: true, First: 100 * time.Millisecond, Between: 5 * time.Millisecond}
}

// TestRollout guards against good versions that are late or taken back, and bad ones that get many requests or stay.
func TestRollout(t *testing.T) {
	bad := rollout.Sample{Version: "v2"}
	slow := rollout.Sample{Version: "v2", OK: true, First: 500 * time.Millisecond, Between: 25 * time.Millisecond}
	tests := []struct {
		name   string
		target func(at time.Duration, n int) rollout.Sample
		want   fleet.State
		most   int // Requests that the target may get: a tenth of all in the time of the rollout and 50.
	}{
		{"good", func(time.Duration, int) rollout.Sample { return good("v2") }, fleet.Complete, 1000},
		{"fails", func(time.Duration, int) rollout.Sample { return bad }, fleet.RolledBack, 86},
		{"fails in part", func(_ time.Duration, n int) rollout.Sample {
			if n%2 == 0 {
				return bad
			}
			return good("v2")
		}, fleet.RolledBack, 86},
		{"slow", func(time.Duration, int) rollout.Sample { return slow }, fleet.RolledBack, 86},
		{"fails under load", func(_ time.Duration, n int) rollout.Sample {
			if n > 30 {
				return bad
			}
			return good("v2")
		}, fleet.RolledBack, 86},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, at, exposed := play(test.target)
			assert.Equal(t, p.State, test.want)
			assert.Assert(t, at <= 12*time.Second)
			assert.Assert(t, exposed <= test.most, "%d requests", exposed)
		})
	}
}

// TestTakenOver guards against a rollout that begins anew, or stops, when another instance becomes the conductor.
func TestTakenOver(t *testing.T) {
	r := fleet.Rollout{Service: "s", Target: "v2", Duration: 12 * time.Second, Revision: 7, Ordered: start}
	c := New(0.1)
	p := fleet.Progress{Target: "v2", Order: 7, Share: 1, State: fleet.InProgress}
	p, changed := c.Next(start.Add(10*time.Second), r, p, Facts{Targets: 1})
	assert.Assert(t, !changed)
	p, changed = c.Next(start.Add(10*time.Second+settle), r, p, Facts{Targets: 1})
	assert.Assert(t, changed)
	assert.Equal(t, p.State, fleet.Complete)
	_, changed = c.Next(start.Add(12*time.Second), r, p, Facts{Targets: 1})
	assert.Assert(t, !changed)
	r.Revision = 9
	p, changed = c.Next(start.Add(20*time.Second), r, p, Facts{})
	assert.Assert(t, changed)
	assert.Equal(t, p.Order, int64(9))
	assert.Equal(t, p.State, fleet.InProgress)
}
