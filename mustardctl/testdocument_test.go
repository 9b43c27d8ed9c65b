package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/operator"
)

var testStart = time.Date(2026, 5, 1, 6, 0, 0, 0, time.UTC)

func testDocument() operator.Document {
	server := operator.BackendServer{
		Name: "e1", Pool: "sizing", DataCentre: "amman-1", Address: "127.0.0.1:9", Version: "v1", Limit: 4, ColdLimit: 1,
	}
	next := server.WithVersion("v2")
	next.Name, next.DataCentre, next.Address = "e2", "amman-2", "127.0.0.1:10"
	rollout := operator.NewRollout(operator.RolloutConfig{ID: "r1", To: "v2", Start: testStart, Within: time.Hour})
	return operator.New().
		WithTier(operator.Tier{Name: "fitting"}).
		WithTeam(operator.NewTeam(operator.TeamConfig{Name: "fitters", Tiers: []string{"fitting"}, Keys: []string{"k"}})).
		WithDataCentre(operator.DataCentre{Name: "amman-1", Region: "amman"}).
		WithDataCentre(operator.DataCentre{Name: "amman-2", Region: "amman"}).
		WithPool(operator.Pool{Name: "sizing", Kind: operator.Engines, MaxWaiting: 10}).
		WithBackendServer(server).
		WithBackendServer(next).
		WithRoute(operator.Route{Name: "model", Pool: "sizing", Version: "v1"}.WithRollout(rollout))
}

func yamlOf(t *testing.T, d operator.Document) string {
	b, err := d.YAML()
	assert.NilError(t, err)
	return string(b)
}
