package operator

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testStart = time.Date(2026, 5, 1, 6, 0, 0, 0, time.UTC)

// testDocument returns a valid document with an entry of each kind and a running rollout.
func testDocument() Document {
	server := BackendServer{
		Name: "e1", Pool: "p", DataCentre: "d1", Address: "127.0.0.1:9", Version: "v1", Limit: 4, ColdLimit: 1,
	}
	next := server.WithVersion("v2")
	next.Name, next.Address = "e2", "127.0.0.1:10"
	rollout := NewRollout(RolloutConfig{ID: "r1", To: "v2", Start: testStart, Within: time.Hour})
	return New().
		WithTier(Tier{Name: "counter"}).
		WithTier(Tier{Name: "batch", Rank: 1}).
		WithTeam(NewTeam(TeamConfig{Name: "a", Tiers: []string{"counter", "batch"}, Keys: []string{"k"}})).
		WithDataCentre(DataCentre{Name: "d1", Region: "r"}).
		WithPool(Pool{Name: "p", Kind: Engines, MaxWaiting: 10}).
		WithBackendServer(server).
		WithBackendServer(next).
		WithRoute(Route{Name: "m", Pool: "p", Version: "v1"}.WithRollout(rollout))
}

// TestMethodsDoNotChangeReceiver guards against a method that changes its receiver, so that a document would change
// after the operator has submitted it.
func TestMethodsDoNotChangeReceiver(t *testing.T) {
	changes := []func(Document) Document{
		func(d Document) Document { return d.WithTier(Tier{Name: "counter", Rank: 2}) },
		func(d Document) Document { return d.WithoutTier("counter") },
		func(d Document) Document { return d.WithTeam(d.Teams[0].WithWeight(2)) },
		func(d Document) Document { return d.WithTeam(d.Teams[0].WithTiers("batch")) },
		func(d Document) Document { return d.WithTeam(d.Teams[0].WithKeyHash(KeyHash("new"))) },
		func(d Document) Document { return d.WithTeam(d.Teams[0].WithoutKeyHash(KeyHash("k"))) },
		func(d Document) Document { return d.WithTeam(Team{Name: "b"}) },
		func(d Document) Document { return d.WithoutTeam("a") },
		func(d Document) Document { return d.WithDataCentre(d.DataCentres[0].WithOutOfService(true)) },
		func(d Document) Document { return d.WithoutDataCentre("d1") },
		func(d Document) Document { return d.WithPool(d.Pools[0].WithMaxWaiting(3)) },
		func(d Document) Document { return d.WithoutPool("p") },
		func(d Document) Document { return d.WithBackendServer(d.BackendServers[0].WithLimits(9, 9)) },
		func(d Document) Document { return d.WithBackendServer(d.BackendServers[0].WithLeaving(true)) },
		func(d Document) Document { return d.WithoutBackendServer("e1") },
		func(d Document) Document { return d.WithRoute(d.Routes[0].WithoutRollout()) },
		func(d Document) Document { return d.WithRoute(d.Routes[0].WithTimeout(time.Minute)) },
		func(d Document) Document {
			return d.WithRoute(d.Routes[0].WithRollout(d.Routes[0].Rollout.WithCanaryShare(0.2).WithSupersedes("r0")))
		},
		func(d Document) Document { return d.WithoutRoute("m") },
	}
	for i, change := range changes {
		d := testDocument()
		out := change(d)
		assert.Assert(t, encode(t, out) != encode(t, d), "change %d has no effect", i)
		assert.Equal(t, encode(t, d), encode(t, testDocument()), "change %d", i)
	}
}

// TestCopiesShareNoMemory guards against a copy whose nested slices or pointers are those of the receiver or of the
// argument.
func TestCopiesShareNoMemory(t *testing.T) {
	d := testDocument()
	team, route := d.Teams[0].WithWeight(2), d.Routes[0].WithTimeout(time.Minute)
	out := d.WithTeam(team).WithTeam(Team{Name: "b"}).WithRoute(route).WithRoute(Route{Name: "n"})
	want := encode(t, out)
	for _, teams := range [][]Team{d.Teams, {team}} {
		teams[0].Tiers[0] = "changed"
		teams[0].KeyHashes[0] = "changed"
	}
	for _, r := range []Route{d.Routes[0], route} {
		r.Rollout.ID = "changed"
	}
	assert.Equal(t, encode(t, out), want)
}

func encode(t *testing.T, d Document) string {
	b, err := json.Marshal(d)
	assert.NilError(t, err)
	return string(b)
}
