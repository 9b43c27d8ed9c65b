package operator

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestValidate guards against a faulty document that is accepted, or whose fault is named at the wrong place.
func TestValidate(t *testing.T) {
	base := New().
		WithTier(Tier{Name: "counter"}).
		WithTeam(Team{Name: "a", Weight: 1, Tiers: []string{"counter"}}).
		WithDataCentre(DataCentre{Name: "d1", Region: "r"}).
		WithPool(Pool{Name: "p", Kind: Engines, MaxWaiting: 10}).
		WithBackendServer(BackendServer{
			Name: "e1", Pool: "p", DataCentre: "d1", Address: "127.0.0.1:9", Version: "v1", Limit: 4, ColdLimit: 1,
		}).
		WithRoute(Route{Name: "m", Pool: "p", Version: "v1"})
	tests := []struct {
		name string
		doc  Document
		path string
	}{
		{"valid", base, ""},
		{"weight", base.WithTeam(Team{Name: "a", Tiers: []string{"counter"}}), "teams[0].weight"},
		{"tier", base.WithTeam(Team{Name: "b", Weight: 1, Tiers: []string{"x"}}), "teams[1].tiers[0]"},
		{"version", base.WithRoute(Route{Name: "m", Pool: "p", Version: "v2"}), "routes[0].version"},
		{"cold limit", base.WithBackendServer(base.BackendServers[0].WithLimits(2, 3)), "backend-servers[0].cold-limit"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := test.doc.Validate()
			if test.path == "" {
				assert.NilError(t, err)
				return
			}
			faults, ok := err.(FieldErrors)
			assert.Assert(t, ok)
			assert.Equal(t, faults[0].Path, test.path)
		})
	}
}
