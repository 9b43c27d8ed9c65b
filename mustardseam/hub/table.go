package hub

import (
	"encoding/json"
	"maps"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/place"
	"github.com/mustardseam/mustardseam/mustardseam/share"
)

// reportLifetime is how long a report is valid. It spans several report intervals, so that an instance is considered gone
// only after the loss of several reports.
const reportLifetime = 2 * time.Second

// Table aggregates the reports that a hub receives; it is not safe for concurrent use.
type Table struct {
	self    string
	reports map[string]*reportEntry
	known   map[string]share.Use
	paces   map[string]smoothedPace
	sum     Sum
	sumTime time.Time
}

// smoothedPace is the exponentially smoothed inter-token latency of a backend server.
type smoothedPace struct {
	ms float64
	at time.Time // Time of the latest measurement.
}

const (
	// sumInterval is how long a computed sum is reused; all reports within it get the same sum.
	sumInterval = 15 * time.Millisecond
	// paceSmoothing is the weight of a new report in the smoothed latency of a backend server.
	paceSmoothing = 0.3
	// paceRetention is how long the latency of a backend server is kept after its last measurement.
	paceRetention = time.Minute
)

// Sum is the total of the valid reports of all instances.
type Sum struct {
	Loads map[string]place.Load            // Load by ID of the backend server.
	Sick  map[string]int                   // Number of instances that failed to reach each backend server.
	JSON  json.RawMessage                  // Loads as JSON.
	Of    map[string]map[string]place.Load // Part of Loads that comes from each instance, by name of the instance.
}

// reportEntry is the latest report of an instance.
type reportEntry struct {
	report Report
	at     time.Time
}

// NewTable returns an empty table of the instance with the name self.
func NewTable(self string) *Table {
	return &Table{self: self, reports: map[string]*reportEntry{}, known: map[string]share.Use{}, paces: map[string]smoothedPace{}}
}

// Take records a report and returns the usage that it adds, or nil for a repeated or outdated report.
func (t *Table) Take(now time.Time, r Report) map[string]share.Use {
	e := t.reports[r.Node]
	if e != nil && e.report.Run == r.Run && e.report.Sequence >= r.Sequence {
		// A repeated or delayed report has been recorded before or is outdated.
		return nil
	}
	t.reports[r.Node] = &reportEntry{report: r, at: now}
	for id, ms := range r.Paces {
		p, known := t.paces[id]
		if !known {
			p.ms = ms
		}
		t.paces[id] = smoothedPace{ms: p.ms + paceSmoothing*(ms-p.ms), at: now}
	}
	t.Use(r.Used)
	return r.Used
}

// Use adds usage by team to the known usage.
func (t *Table) Use(used map[string]share.Use) {
	for team, u := range used {
		t.known[team] = t.known[team].Plus(u)
	}
}

// Known returns the total usage by team that this instance knows of.
func (t *Table) Known() map[string]share.Use { return maps.Clone(t.known) }

// Nodes returns the sorted names of this instance and of those with a valid report. It leaves out instances that are
// stopping, which get no new requests.
func (t *Table) Nodes(now time.Time) []string {
	nodes := []string{t.self}
	for name, e := range t.reports {
		if now.Sub(e.at) < reportLifetime && !e.report.Stopping {
			nodes = append(nodes, name)
		}
	}
	sort.Strings(nodes)
	return nodes
}

// Stopping returns the instances whose valid report says that they are stopping. Their requests at backend servers still
// count as load.
func (t *Table) Stopping(now time.Time) []string {
	var nodes []string
	for name, e := range t.reports {
		if now.Sub(e.at) < reportLifetime && e.report.Stopping {
			nodes = append(nodes, name)
		}
	}
	return nodes
}

// Sum returns the sum of the latest reports; it may be up to sumInterval old. The function own returns the loads that this
// instance knows itself, by instance: its own and those of instances for which it places requests, which take precedence
// over reports. It also returns the IDs of the backend servers that this instance failed to reach.
func (t *Table) Sum(now time.Time, own func() (of map[string]map[string]place.Load, sick []string)) (Sum, error) {
	if now.Sub(t.sumTime) < sumInterval && !t.sumTime.IsZero() {
		return t.sum, nil
	}
	of, ids := own()
	sum := Sum{Loads: map[string]place.Load{}, Sick: map[string]int{}, Of: map[string]map[string]place.Load{}}
	maps.Copy(sum.Of, of)
	for _, id := range ids {
		sum.Sick[id]++
	}
	for _, e := range t.reports {
		if now.Sub(e.at) >= reportLifetime {
			continue
		}
		if _, known := of[e.report.Node]; !known {
			sum.Of[e.report.Node] = e.report.Loads
		}
		for _, id := range e.report.Sick {
			sum.Sick[id]++
		}
	}
	for _, loads := range sum.Of {
		for id, l := range loads {
			sum.Loads[id] = sum.Loads[id].Plus(l)
		}
	}
	var err error
	if sum.JSON, err = json.Marshal(sum.Loads); err != nil {
		return Sum{}, eris.Wrap(err, "encode loads")
	}
	t.sum, t.sumTime = sum, now
	return sum, nil
}

// Paces returns the smoothed inter-token latency in milliseconds by ID of the backend server.
func (t *Table) Paces() map[string]float64 {
	paces := make(map[string]float64, len(t.paces))
	for id, p := range t.paces {
		paces[id] = p.ms
	}
	return paces
}

// Sweep removes instances without a report for ten report lifetimes and latencies older than paceRetention.
func (t *Table) Sweep(now time.Time) {
	for name, e := range t.reports {
		if now.Sub(e.at) > 10*reportLifetime {
			delete(t.reports, name)
		}
	}
	for id, p := range t.paces {
		if now.Sub(p.at) > paceRetention {
			delete(t.paces, id)
		}
	}
}
