package scenario

import (
	"github.com/mustardseam/mustardseam/measure/drive"
	"github.com/mustardseam/mustardseam/measure/figure"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// Scenario is a named run.
type Scenario struct {
	Name string
	Note string // One line for the list.
	Run  func(o Options) Result
}

// Options choose the random numbers and the scheduler of a run.
type Options struct {
	Seed uint64
	Make drive.SchedulerFactory // Nil for the pool.
}

// Result is what a run reports.
type Result struct {
	Figures []figure.Figure
	Series  []Series
}

// Series is a figure over time, one value a second.
type Series struct {
	Name   string
	Values []float64
}

// All lists the scenarios in the order of design 4.
func All() []Scenario {
	return []Scenario{
		{"qasr-steady", "rated load at Qasr", planned(steady)},
		{"qasr-burst", "three times the capacity, mixed tiers, lengths differing a hundredfold", planned(burst)},
		{"greedy-team", "a team of weight 1 asks for three times the capacity", planned(greedy)},
		{"slow-engine", "the fastest engine takes six times as long for 20 s", planned(slowEngine)},
		{"cold-start", "all engines start cold, later some turn cold without warning", planned(coldStart)},
		{"stale-reports", "load reports and cache events are 5 s old and have gaps", planned(staleReports)},
		{"prefix-reuse", "shared prompt prefixes that do not fit into one cache", prefixReuse},
		{"retry-storm", "four engines refuse connections and callers repeat refused calls", planned(retryStorm)},
		{"instance-loss", "an entry instance dies, then the home", planned(instanceLoss)},
		{"tokachi-data-centre-move", "a data centre is taken out and returns cold", planned(dataCentreMove)},
		{"tokachi-rollout", "good versions and five kinds of bad version over 20 seeds", tokachiRollout},
		{"qasr-heavy", "instances without a home at twice the load, with a slow engine, a lost one and a lost instance", heavy(qasrHeavy)},
		{"tokachi-heavy", "the same for the other site, whose first events take longer", heavy(tokachiHeavy)},
		{"store-outage", "ten minutes without the store, with lost answers; the home lives on, or dies", storeOutage},
	}
}

// Find returns the scenario of the name, and false when there is none.
func Find(name string) (Scenario, bool) {
	for _, s := range All() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// Pool makes the scheduler under test.
func Pool(cfg pool.Config) drive.Scheduler { return pool.New(cfg) }

// planned returns the run of a plan.
func planned(f func(seed uint64) plan) func(Options) Result {
	return func(o Options) Result { return execute(f(o.Seed), o).result() }
}
