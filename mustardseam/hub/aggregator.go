package hub

import (
	"encoding/json"
	"maps"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/placement"
	"github.com/mustardseam/mustardseam/mustardseam/ratelimit"
)

// reportLifetime is how long a report is valid. It spans several report intervals, so that an instance is considered gone
// only after the loss of several reports.
const reportLifetime = 2 * time.Second

// silenceTimeout is how long an instance without reports is assumed to be cut off. One that lost power has been replaced or is
// gone by then.
const silenceTimeout = 15 * time.Second

// Aggregator aggregates the reports that a hub receives; it is not safe for concurrent use.
type Aggregator struct {
	self       string                        // Name of this instance.
	reports    map[string]*reportEntry       // Latest report by name of the instance.
	usage      map[string]ratelimit.Usage    // Total usage by team.
	interToken map[string]smoothedInterToken // Inter-token latency by ID of the backend server.
	demand     *demandSum
	sum        Sum       // Latest sum.
	sumTime    time.Time // Time at which sum was computed; zero before the first.
}

// smoothedInterToken is the exponentially smoothed inter-token latency of a backend server.
type smoothedInterToken struct {
	ms float64
	at time.Time // Time of the latest measurement.
}

const (
	// sumInterval is how long a computed sum is reused; all reports within it get the same sum.
	sumInterval = 15 * time.Millisecond
	// interTokenSmoothing is the weight of a new report in the smoothed latency of a backend server.
	interTokenSmoothing = 0.3
	// interTokenRetention is how long the latency of a backend server is kept after its last measurement.
	interTokenRetention = time.Minute
)

// Sum is the total of the valid reports of all instances.
type Sum struct {
	Loads       map[string]placement.Load            // Load by ID of the backend server.
	Unreachable map[string]int                       // Number of instances that failed to reach each backend server.
	JSON        json.RawMessage                      // Loads as JSON.
	ByInstance  map[string]map[string]placement.Load // Part of Loads that comes from each instance, by name of the instance.
}

// reportEntry is the latest report of an instance.
type reportEntry struct {
	report Report
	at     time.Time // Time of arrival.
}

// NewAggregator returns an empty aggregator for the instance with the name self.
func NewAggregator(self string) *Aggregator {
	return &Aggregator{
		self: self, reports: map[string]*reportEntry{}, usage: map[string]ratelimit.Usage{},
		interToken: map[string]smoothedInterToken{}, demand: newDemandSum(),
	}
}

// Add records a report and returns the usage that it adds, or nil for a repeated or outdated report.
func (a *Aggregator) Add(now time.Time, r Report) map[string]ratelimit.Usage {
	e := a.reports[r.Instance]
	if e != nil && e.report.Run == r.Run && e.report.Sequence >= r.Sequence {
		// A repeated or delayed report has been recorded before or is outdated.
		return nil
	}
	a.reports[r.Instance] = &reportEntry{report: r, at: now}
	for id, ms := range r.InterTokenMS {
		smoothed, known := a.interToken[id]
		if !known {
			smoothed.ms = ms
		}
		a.interToken[id] = smoothedInterToken{ms: smoothed.ms + interTokenSmoothing*(ms-smoothed.ms), at: now}
	}
	a.demand.add(r.Instance, r.Run, r.Demand)
	a.AddUsage(r.Used)
	return r.Used
}

// AddUsage adds usage by team to the known usage.
func (a *Aggregator) AddUsage(used map[string]ratelimit.Usage) {
	for team, u := range used {
		a.usage[team] = a.usage[team].Plus(u)
	}
}

// Usage returns the total usage by team that this instance knows of.
func (a *Aggregator) Usage() map[string]ratelimit.Usage { return maps.Clone(a.usage) }

// ActiveInstances returns the sorted names of this instance and of those with a valid report. It leaves out instances that
// are stopping, which get no new requests.
func (a *Aggregator) ActiveInstances(now time.Time) []string {
	instances := []string{a.self}
	for name, e := range a.reports {
		if now.Sub(e.at) < reportLifetime && !e.report.Stopping {
			instances = append(instances, name)
		}
	}
	sort.Strings(instances)
	return instances
}

// SilentInstances returns the number of instances that have sent no valid report for a while, but did so within silenceTimeout
// and were not stopping. They may be cut off and still serve callers.
func (a *Aggregator) SilentInstances(now time.Time) int {
	n := 0
	for _, e := range a.reports {
		if silence := now.Sub(e.at); silence >= reportLifetime && silence < silenceTimeout && !e.report.Stopping {
			n++
		}
	}
	return n
}

// StoppingInstances returns the names of the instances whose valid report says that they are stopping. Their requests at
// backend servers still count as load.
func (a *Aggregator) StoppingInstances(now time.Time) []string {
	var instances []string
	for name, e := range a.reports {
		if now.Sub(e.at) < reportLifetime && e.report.Stopping {
			instances = append(instances, name)
		}
	}
	return instances
}

// Sum returns the sum of the latest reports; it may be up to sumInterval old. The function localLoads returns the loads this
// instance knows itself, by instance: its own and those of instances for which it places requests, which take precedence
// over reports. It also returns the IDs of the backend servers that this instance failed to reach.
func (a *Aggregator) Sum(
	now time.Time, localLoads func() (byInstance map[string]map[string]placement.Load, unreachable []string),
) (Sum, error) {
	if now.Sub(a.sumTime) < sumInterval && !a.sumTime.IsZero() {
		return a.sum, nil
	}
	byInstance, ids := localLoads()
	sum := Sum{Loads: map[string]placement.Load{}, Unreachable: map[string]int{}, ByInstance: map[string]map[string]placement.Load{}}
	maps.Copy(sum.ByInstance, byInstance)
	for _, id := range ids {
		sum.Unreachable[id]++
	}
	for _, e := range a.reports {
		if now.Sub(e.at) >= reportLifetime {
			continue
		}
		if _, known := byInstance[e.report.Instance]; !known {
			sum.ByInstance[e.report.Instance] = e.report.Loads
		}
		for _, id := range e.report.Unreachable {
			sum.Unreachable[id]++
		}
	}
	for _, loads := range sum.ByInstance {
		for id, l := range loads {
			sum.Loads[id] = sum.Loads[id].Plus(l)
		}
	}
	var err error
	if sum.JSON, err = json.Marshal(sum.Loads); err != nil {
		return Sum{}, eris.Wrap(err, "encode loads")
	}
	a.sum, a.sumTime = sum, now
	return sum, nil
}

// InterTokenMS returns the smoothed inter-token latency in milliseconds by ID of the backend server.
func (a *Aggregator) InterTokenMS() map[string]float64 {
	latencies := make(map[string]float64, len(a.interToken))
	for id, p := range a.interToken {
		latencies[id] = p.ms
	}
	return latencies
}

// Sweep removes instances without a report for ten report lifetimes and latencies older than interTokenRetention.
func (a *Aggregator) Sweep(now time.Time) {
	for name, e := range a.reports {
		if now.Sub(e.at) > 10*reportLifetime {
			delete(a.reports, name)
			a.demand.remove(name)
		}
	}
	for id, p := range a.interToken {
		if now.Sub(p.at) > interTokenRetention {
			delete(a.interToken, id)
		}
	}
}
