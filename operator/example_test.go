package operator_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/mustardseam/mustardseam/operator"
)

// exampleDocument returns a configuration with three data centres, 12 model replicas on three hardware generations and
// 3 replicas of the order service.
func exampleDocument() operator.Document {
	d := operator.New().
		WithTier(operator.Tier{Name: "fitting", Rank: 0}).
		WithTier(operator.Tier{Name: "report", Rank: 1}).
		WithTier(operator.Tier{Name: "batch", Rank: 2}).
		WithPool(operator.Pool{Name: "sizing", Kind: operator.Engines, MaxWaiting: 400}).
		WithPool(operator.Pool{Name: "orders", Kind: operator.Services, MaxWaiting: 100})
	for _, team := range []operator.TeamConfig{
		{Name: "fitters", Weight: 4, Tiers: []string{"fitting", "report"}},
		{Name: "workshop", Weight: 3, Tiers: []string{"report", "fitting"}},
		{Name: "leather", Weight: 1, Tiers: []string{"fitting"}},
		{Name: "export", Weight: 1, Tiers: []string{"report", "batch"}},
		{Name: "archive", Weight: 1, Tiers: []string{"batch"}},
	} {
		team.Keys = []string{"example-key-of-" + team.Name}
		d = d.WithTeam(operator.NewTeam(team))
	}
	for i, hardware := range []string{"gen3", "gen2", "gen1"} {
		centre := fmt.Sprintf("amman-%d", i+1)
		d = d.WithDataCentre(operator.DataCentre{Name: centre, Region: "amman"}).
			WithBackendServer(operator.BackendServer{
				Name: "orders-" + centre, Pool: "orders", DataCentre: centre,
				Address: fmt.Sprintf("10.0.%d.50:8000", i+1), Version: "orders-7", Limit: 16, ColdLimit: 4,
			})
		for j := range 4 {
			d = d.WithBackendServer(operator.BackendServer{
				Name: fmt.Sprintf("engine-%d-%d", i+1, j+1), Pool: "sizing", DataCentre: centre, Hardware: hardware,
				Address: fmt.Sprintf("10.0.%d.%d:8000", i+1, j+1), Version: "sizing-4", Limit: 12 - 3*i, ColdLimit: 1,
			})
		}
	}
	return d.
		WithRoute(operator.Route{Name: "sizing", Pool: "sizing", Version: "sizing-4"}.WithTimeout(90 * time.Second)).
		WithRoute(operator.Route{Name: "orders", Pool: "orders", Version: "orders-7"}.WithNonIdempotent(true))
}

func Example() {
	b, err := exampleDocument().YAML()
	if err != nil {
		fmt.Println(err)
		return
	}
	general, servers, _ := strings.Cut(string(b), "backend-servers:\n")
	servers, routes, _ := strings.Cut(servers, "routes:\n")
	_, sections, _ := strings.Cut(general, "data-centres:\n")
	first, _, _ := strings.Cut(servers, "- name: engine-1-1\n")
	fmt.Print("data-centres:\n", sections, "backend-servers:\n", first, "# ... 14 more\nroutes:\n", routes)
	// Output:
	// data-centres:
	// - name: amman-1
	//   region: amman
	// - name: amman-2
	//   region: amman
	// - name: amman-3
	//   region: amman
	// pools:
	// - name: sizing
	//   kind: engines
	//   max-waiting: 400
	// - name: orders
	//   kind: services
	//   max-waiting: 100
	// backend-servers:
	// - name: orders-amman-1
	//   pool: orders
	//   data-centre: amman-1
	//   address: 10.0.1.50:8000
	//   version: orders-7
	//   limit: 16
	//   cold-limit: 4
	// # ... 14 more
	// routes:
	// - name: sizing
	//   pool: sizing
	//   version: sizing-4
	//   timeout-seconds: 90.0
	// - name: orders
	//   pool: orders
	//   version: orders-7
	//   non-idempotent: true
}

func ExampleDocument_Drain() {
	before := exampleDocument()
	after, err := before.Drain(operator.DataCentreTarget, "amman-2")
	if err != nil {
		fmt.Println(err)
		return
	}
	changes, err := operator.Diff(before, after)
	fmt.Println(changes, err)
	_, err = before.Drain(operator.DataCentreTarget, "amman-9")
	fmt.Println(err)
	// Output:
	// [{data-centres[amman-2].out-of-service  true}] <nil>
	// no data-centre "amman-9"; the configuration has: amman-1, amman-2, amman-3
}

func ExampleRoute_WithRollout() {
	start := time.Date(2026, 5, 1, 6, 0, 0, 0, time.UTC)
	d := exampleDocument()
	for _, name := range []string{"engine-1-1", "engine-2-1"} {
		for _, server := range d.BackendServers {
			if server.Name == name {
				d = d.WithBackendServer(server.WithVersion("sizing-5"))
			}
		}
	}
	rollout := operator.NewRollout(operator.RolloutConfig{ID: "sizing-5-a", To: "sizing-5", Start: start, Within: 2 * time.Hour})
	d = d.WithRoute(d.Routes[0].WithRollout(rollout))
	fmt.Println(d.Validate(), d.Routes[0].Rollout.Deadline.Format(time.Kitchen))
	fmt.Println(d.WithRoute(d.Routes[0].WithRollout(rollout.WithCanaryShare(2))).Validate())
	// Output:
	// <nil> 8:00AM
	// routes[0].rollout.canary-share: must be above 0 and at most 0.5
}
