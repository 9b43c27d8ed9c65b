package rollout

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/operator"
)

// TestConflictWithRunningRollout guards against a submission that changes the versions of a route during its rollout
// undetected, and against the rejection of one that does not change them or that supersedes the rollout.
func TestConflictWithRunningRollout(t *testing.T) {
	other := operator.Route{Name: "other", Version: "v1"}
	before := operator.New().WithRoute(other).WithRoute(movedRoute)
	next := *movedRoute.Rollout
	next.ID, next.To = "r2", "v3"
	target := *movedRoute.Rollout
	target.To = "v3"
	tests := []struct {
		name    string
		after   operator.Document
		running []string
		path    string
	}{
		{"unchanged", before, []string{"r1"}, ""},
		{"other route", before.WithRoute(other.WithVersion("v2")), []string{"r1"}, ""},
		{"timeout", before.WithRoute(operator.Route{Name: "m", Version: "v1", Timeout: 9, Rollout: movedRoute.Rollout}), []string{"r1"}, ""},
		{"version", before.WithRoute(movedRoute.WithVersion("v3")), []string{"r1"}, "routes[1].version"},
		{"version after the end", before.WithRoute(movedRoute.WithVersion("v2").WithoutRollout()), nil, ""},
		{"rollout removed", before.WithRoute(movedRoute.WithoutRollout()), []string{"r1"}, ""},
		{"rollout and version changed", before.WithRoute(movedRoute.WithoutRollout().WithVersion("v2")), []string{"r1"}, "routes[1].version"},
		{"route removed", operator.New().WithRoute(other), []string{"r1"}, "routes"},
		{"another rollout", before.WithRoute(movedRoute.WithRollout(next)), []string{"r1"}, "routes[1].rollout.supersedes"},
		{"superseded", before.WithRoute(movedRoute.WithRollout(next.WithSupersedes("r1"))), []string{"r1"}, ""},
		{"superseding another", before.WithRoute(movedRoute.WithRollout(next.WithSupersedes("r0"))), []string{"r1"}, "routes[1].rollout.supersedes"},
		{"superseding itself", before.WithRoute(movedRoute.WithRollout(target.WithSupersedes("r1"))), []string{"r1"}, "routes[1].rollout.to"},
		{"schedule", before.WithRoute(movedRoute.WithRollout(movedRoute.Rollout.WithWindow(start, start.Add(time.Hour)))), []string{"r1"}, ""},
		{"target", before.WithRoute(movedRoute.WithRollout(target)), []string{"r1"}, "routes[1].rollout.to"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { assertConflictPath(t, CheckConflict(before, test.after, test.running), test.path) })
	}
}

// TestReusedRolloutID guards against a new rollout with the ID of an older one: the older one's mark or record would end it
// at once.
func TestReusedRolloutID(t *testing.T) {
	before := operator.New().WithRoute(movedRoute)
	copied := operator.Route{Name: "other", Version: "v1", Rollout: movedRoute.Rollout}
	old := *movedRoute.Rollout
	old.ID = "r0"
	taken := func(id string) bool { return id == "r0" || id == "r1" }
	tests := []struct {
		name  string
		after operator.Document
		path  string
	}{
		{"unchanged", before, ""},
		{"same id on two routes", before.WithRoute(copied), "routes[1].rollout.id"},
		{"id of a record", before.WithRoute(movedRoute.WithRollout(old)), "routes[0].rollout.id"},
		{"id moved to another route", before.WithRoute(movedRoute.WithoutRollout()).WithRoute(copied), "routes[1].rollout.id"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { assertConflictPath(t, CheckReusedIDs(before, test.after, taken), test.path) })
	}
}

func assertConflictPath(t *testing.T, err error, path string) {
	t.Helper()
	if path == "" {
		assert.NilError(t, err)
		return
	}
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.Path, path)
	var faults operator.FieldErrors
	assert.Assert(t, errors.As(err, &faults))
	assert.Equal(t, faults[0].Path, path)
}
