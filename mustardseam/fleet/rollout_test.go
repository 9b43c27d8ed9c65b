package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestProgressBelongsToOrder guards against a rollout that starts anew because its order was written again after the store was
// restored, and against the progress of one order that is taken for that of another.
func TestProgressBelongsToOrder(t *testing.T) {
	tests := []struct {
		name     string
		progress Progress
		order    ServiceRollout
		want     bool
	}{
		{"same order", Progress{Target: "v2", Order: 7, Era: 1}, ServiceRollout{Target: "v2", Revision: 7, Era: 1}, true},
		{"later order", Progress{Target: "v2", Order: 7, Era: 1}, ServiceRollout{Target: "v2", Revision: 9, Era: 1}, false},
		{"written again", Progress{Target: "v2", Order: 7, Era: 1}, ServiceRollout{Target: "v2", Revision: 5, Era: 2}, true},
		{"another target", Progress{Target: "v2", Order: 7, Era: 1}, ServiceRollout{Target: "v3", Revision: 5, Era: 2}, false},
		{"another target at the same revision", Progress{Target: "v2", Order: 7, Era: 1}, ServiceRollout{Target: "v3", Revision: 7, Era: 2}, false},
		{"known from an earlier era", Progress{Target: "v2", Order: 7, Era: 2}, ServiceRollout{Target: "v2", Revision: 7, Era: 1}, true},
		{"order not yet written again", Progress{Target: "v2", Order: 7, Era: 1}, ServiceRollout{Target: "v2", Era: 2}, true},
		{"written again after that", Progress{Target: "v2", Era: 2}, ServiceRollout{Target: "v2", Revision: 9, Era: 2}, true},
		{"no progress", Progress{}, ServiceRollout{Target: "v2", Revision: 7, Era: 1}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { assert.Equal(t, test.progress.BelongsTo(test.order), test.want) })
	}
}

// TestRewrittenOrderKeepsItsDeadline guards against a deadline that moves when an order is written again.
func TestRewrittenOrderKeepsItsDeadline(t *testing.T) {
	start := time.Now()
	order := func(target string, revision, era int64, at time.Time) Change {
		return Change{Rollout: &ServiceRollout{Service: "s", Target: target, Revision: revision, Era: era, Ordered: at}}
	}
	v := NewView().With(order("v2", 7, 1, start), order("v2", 5, 2, start.Add(time.Second)))
	assert.Equal(t, v.Rollouts["s"].Ordered, start)
	assert.Equal(t, v.Rollouts["s"].Revision, int64(5))
	v = v.With(order("v3", 9, 2, start.Add(2*time.Second)))
	assert.Equal(t, v.Rollouts["s"].Ordered, start.Add(2*time.Second))
	v = v.With(order("v4", 9, 3, start.Add(3*time.Second)))
	assert.Equal(t, v.Rollouts["s"].Ordered, start.Add(3*time.Second), "another order has the revision of a lost one")
}
