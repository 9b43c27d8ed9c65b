package operator

import (
	"flag"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestParseReportsFaultWithLine guards against a value that is silently skipped or converted, and against an error
// without its line.
func TestParseReportsFaultWithLine(t *testing.T) {
	b, err := testDocument().YAML()
	assert.NilError(t, err)
	tests := []struct{ old, edit, want string }{
		{"weight: 1", "wieght: 1", "line 9: teams[0].wieght: unknown member; allowed: name, weight, tiers, key-hashes"},
		{"weight: 1", "weight: heavy", "line 9: teams[0].weight: must be a number"},
		{"weight: 1", "weight: -1", "line 9: teams[0].weight: must be above 0 and at most 1e+06"},
		{"limit: 4", "limit: 4.5", "line 28: backend-servers[0].limit: must be a whole number"},
		{"start: 2026-05-01T06:00:00Z", "start: tomorrow", "must be a time such as 2026-05-01T06:00:00Z"},
		{"tiers:\n- name: counter", "tiers:\n- name: {}", "line 3: tiers[0].name: must be a string"},
		{"format: mustardseam/1", "format: mustardseam/1\n---", "line 3: must be a single YAML document"},
	}
	for _, test := range tests {
		_, err := Parse([]byte(strings.Replace(string(b), test.old, test.edit, 1)))
		assert.ErrorContains(t, err, test.want)
	}
}

// TestParseSetsDefaultCanaryShare guards against a rollout that is rejected because it sets no canary share.
func TestParseSetsDefaultCanaryShare(t *testing.T) {
	b, err := testDocument().YAML()
	assert.NilError(t, err)
	d, err := Parse([]byte(strings.Replace(string(b), "canary-share: 0.01", "", 1)))
	assert.NilError(t, err)
	assert.Equal(t, d.Routes[0].Rollout.CanaryShare, DefaultCanaryShare)
}

// TestYAMLRoundTripKeepsValues guards against names and versions that change their type or value in YAML, such as "1.0"
// or "no".
func TestYAMLRoundTripKeepsValues(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(rt *rapid.T) {
		word := rapid.OneOf(
			rapid.SampledFrom([]string{"no", "null", "~", "1.0", "1e3", "0x1f", "true", "-", "1_0", "2026-05-01", "-1", "_"}),
			rapid.StringMatching(`[A-Za-z0-9_~-][A-Za-z0-9._~-]{0,5}`))
		d := testDocument()
		version := word.Draw(rt, "version")
		d = d.WithBackendServer(d.BackendServers[0].WithVersion(version)).
			WithRoute(d.Routes[0].WithVersion(version).WithoutRollout()).
			WithTeam(Team{Name: word.Draw(rt, "team"), Weight: rapid.Float64Range(1e-6, 1e6).Draw(rt, "weight"), Tiers: []string{"batch"}}).
			WithDataCentre(DataCentre{Name: word.Draw(rt, "data centre"), Region: word.Draw(rt, "region")})
		b, err := d.YAML()
		assert.NilError(rt, err)
		back, err := Parse(b)
		assert.NilError(rt, err)
		changes, err := Diff(d, back)
		assert.NilError(rt, err)
		assert.Equal(rt, len(changes), 0, "%v", changes)
	})
}
