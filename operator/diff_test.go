package operator

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDiffListsOnlyChanges guards against a change that is not listed, and against entries that are reported as changed
// because others were added or reordered.
func TestDiffListsOnlyChanges(t *testing.T) {
	d := testDocument()
	reordered := d
	reordered.BackendServers = slices.Clone(d.BackendServers)
	slices.Reverse(reordered.BackendServers)
	tests := []struct {
		to   Document
		want []Change
	}{
		{reordered, nil},
		{
			d.WithTeam(d.Teams[0].WithWeight(2)).WithoutBackendServer("e1").WithDataCentre(DataCentre{Name: "d2", Region: "r"}),
			[]Change{
				{Path: "teams[a].weight", Old: "1", New: "2"},
				{Path: "data-centres[d2]", New: `{"name":"d2","region":"r"}`},
				{Path: "backend-servers[e1]", Old: `{"address":"127.0.0.1:9","cold-limit":1,"data-centre":"d1","limit":4,` +
					`"name":"e1","pool":"p","version":"v1"}`},
			},
		},
		{
			d.WithRoute(d.Routes[0].WithRollout(d.Routes[0].Rollout.WithCanaryShare(0.2))),
			[]Change{{Path: "routes[m].rollout.canary-share", Old: "0.01", New: "0.2"}},
		},
		{d.WithTeam(d.Teams[0].WithTiers("batch")), []Change{{Path: "teams[a].tiers", Old: `["counter","batch"]`, New: `["batch"]`}}},
		{d.WithoutDataCentre("d1"), []Change{{Path: "data-centres[d1]", Old: `{"name":"d1","region":"r"}`}}},
	}
	for _, test := range tests {
		got, err := Diff(d, test.to)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, test.want)
	}
}

// TestDrainCanBeRestored guards against a drain that changes another target, cannot be reverted, or accepts an unknown
// name.
func TestDrainCanBeRestored(t *testing.T) {
	d := testDocument()
	tests := []struct {
		kind Target
		name string
		path string
	}{
		{DataCentreTarget, "d1", "data-centres[d1].out-of-service"},
		{BackendServerTarget, "e2", "backend-servers[e2].leaving"},
	}
	for _, test := range tests {
		drained, err := d.Drain(test.kind, test.name)
		assert.NilError(t, err)
		changes, err := Diff(d, drained)
		assert.NilError(t, err)
		assert.DeepEqual(t, changes, []Change{{Path: test.path, New: "true"}})
		restored, err := drained.Restore(test.kind, test.name)
		assert.NilError(t, err)
		assert.DeepEqual(t, restored, d)
		_, err = d.Drain(test.kind, "x")
		assert.ErrorType(t, err, &UnknownNameError{})
	}
}
