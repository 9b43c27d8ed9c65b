package operator

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestValidateNamesInvalidField guards against an invalid document that is accepted, or whose error has the wrong path.
func TestValidateNamesInvalidField(t *testing.T) {
	d := testDocument()
	team, server, route, rollout := d.Teams[0], d.BackendServers[0], d.Routes[0], *d.Routes[0].Rollout
	withRollout := func(o Rollout) Document { return d.WithRoute(route.WithRollout(o)) }
	named := func(r Route, name string) Route { r.Name = name; return r }
	sameAddress := server
	sameAddress.Name = "e3"
	other := Team{Name: "b", Weight: 1, Tiers: []string{"batch"}, KeyHashes: []string{KeyHash("k")}}
	tests := []struct {
		doc  Document
		want string // Prefix of the only error: its path and the beginning of the reason; empty when the document is valid.
	}{
		{d, ""},
		{Document{Format: "x", Tiers: d.Tiers}, "format: must be"},
		{New(), "tiers: must name"},
		{d.WithTier(Tier{Name: "batch", Rank: 2}), "tiers[1].rank: ranks must be 0 to 1"},
		{d.WithTier(Tier{Name: "batch", Rank: 0}), "tiers[1].rank: ranks must be 0 to 1"},
		{d.WithTier(Tier{Name: "a b", Rank: 2}), "tiers[2].name: must be 1 to 63"},
		{d.WithTeam(team.WithWeight(0)), "teams[0].weight"},
		{d.WithTeam(team.WithWeight(math.NaN())), "teams[0].weight"},
		{d.WithTeam(team.WithWeight(math.Inf(1))), "teams[0].weight"},
		{d.WithTeam(team.WithTiers("x")), `teams[0].tiers[0]: no tier "x"`},
		{d.WithTeam(team.WithTiers("batch", "batch")), `teams[0].tiers[1]: "batch" is listed twice`},
		{d.WithTeam(team.WithTiers()), "teams[0].tiers: must name"},
		{d.WithTeam(other), `teams[1].key-hashes[0]: team "a" has the same key`},
		{d.WithTeam(team.WithKeyHash(strings.ToUpper(KeyHash("x")))), "teams[0].key-hashes[1]: must be a SHA-256"},
		{d.WithDataCentre(DataCentre{Name: "d2", Region: "r/x"}), "data-centres[1].region"},
		{d.WithPool(Pool{Name: "..", Kind: Engines, MaxWaiting: 1}), "pools[1].name"},
		{d.WithPool(Pool{Name: "q", Kind: "x", MaxWaiting: 1}), "pools[1].kind"},
		{d.WithPool(d.Pools[0].WithMaxWaiting(0)), "pools[0].max-waiting"},
		{d.WithBackendServer(server.WithLimits(2, 3)), "backend-servers[0].cold-limit"},
		{d.WithBackendServer(sameAddress), `backend-servers[2].address: backend server "e1" has the same address`},
		{d.WithRoute(named(route, "m").WithVersion("v2").WithoutRollout().WithTimeout(-1)), "routes[0].timeout-seconds"},
		{d.WithRoute(route.WithVersion("v3")), "routes[0].version"},
		{d.WithRoute(named(route, "n")), `routes[1].rollout.id: route "m" has a rollout of the same id`},
		{d.WithRoute(named(route, "org/model:8b").WithoutRollout()), ""},
		{
			d.WithPool(Pool{Name: "p", Kind: Services, MaxWaiting: 1}).WithRoute(named(route, "a/b").WithoutRollout()),
			"routes[1].name: the name of a service is a path segment",
		},
		{withRollout(rollout.WithSupersedes("r1")), "routes[0].rollout.supersedes"},
		{withRollout(rollout.WithSupersedes("r0")), ""},
		{withRollout(rollout.WithCanaryShare(0.6)), "routes[0].rollout.canary-share"},
		{withRollout(rollout.WithWindow(testStart, testStart)), "routes[0].rollout.deadline"},
		{withRollout(rollout.WithWindow(time.Time{}, testStart)), "routes[0].rollout.start"},
	}
	for _, test := range tests {
		err := test.doc.Validate()
		if test.want == "" {
			assert.NilError(t, err)
			continue
		}
		fieldErrors, ok := err.(FieldErrors)
		assert.Assert(t, ok && len(fieldErrors) == 1, "want %s, got %v", test.want, err)
		assert.Assert(t, strings.HasPrefix(fieldErrors[0].Error(), test.want), "want %s, got %v", test.want, fieldErrors[0])
	}
}
