package scenario

import (
	"github.com/mustardseam/mustardseam/measure/drive"
	"github.com/mustardseam/mustardseam/measure/figure"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// Scenario is a named simulation with the figures that it reports.
type Scenario struct {
	Name        string
	Description string // One-line description that measure list prints.
	Run         func(o Options) Result
}

// Options selects the seed and the scheduler of a run.
type Options struct {
	Seed         uint64
	NewScheduler drive.SchedulerFactory // Creates the scheduler under test; nil means NewPool.
}

// Result holds the figures and time series of a run.
type Result struct {
	Figures []figure.Figure
	Series  []Series
}

// Series is a time series with one value per second.
type Series struct {
	Name   string
	Values []float64
}

// All returns the scenarios in the order of design 4.
func All() []Scenario {
	return []Scenario{
		{"qasr-steady", "rated load at Qasr", runPlan(steadyPlan)},
		{"qasr-burst", "three times the capacity, mixed tiers, lengths differing a hundredfold", runPlan(burstPlan)},
		{"greedy-team", "a team of weight 1 asks for three times the capacity", runPlan(greedyTeamPlan)},
		{"slow-engine", "the fastest engine takes six times as long for 20 s", runPlan(slowEnginePlan)},
		{"cold-start", "all engines start cold, later some turn cold without warning", runPlan(coldStartPlan)},
		{"stale-reports", "load reports and cache events are 5 s old and have gaps", runPlan(staleReportsPlan)},
		{"prefix-reuse", "shared prompt prefixes that do not fit into one cache", prefixReuse},
		{"retry-storm", "four engines refuse connections and callers repeat refused calls", runPlan(retryStormPlan)},
		{"instance-loss", "an entry instance dies, then the home", runPlan(instanceLossPlan)},
		{"tokachi-data-centre-move", "a data centre is taken out and returns cold", runPlan(dataCentreMovePlan)},
		{"tokachi-rollout", "good versions and five kinds of bad version over 20 seeds", tokachiRollout},
		{"qasr-heavy", "instances without a home at twice the load, with a slow engine, a lost one and a lost instance", heavyScenario(qasrHeavy)},
		{"tokachi-heavy", "the same for the other site, whose first events take longer", heavyScenario(tokachiHeavy)},
		{"store-outage", "ten minutes without the store, with lost answers; the home lives on, or dies", storeOutage},
	}
}

// Find returns the named scenario, and false if there is none.
func Find(name string) (Scenario, bool) {
	for _, s := range All() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// NewPool creates the product's scheduler.
func NewPool(cfg pool.Config) drive.Scheduler { return pool.New(cfg) }

// runPlan returns a Run function that executes the plan of f.
func runPlan(f func(seed uint64) plan) func(Options) Result {
	return func(o Options) Result { return execute(f(o.Seed), o).buildResult() }
}
