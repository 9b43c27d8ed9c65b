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

// current is how long a report counts. Several reports may be lost before an instance is taken for gone.
const current = 2 * time.Second

// Table is what a hub knows from reports; it is not safe for concurrent use.
type Table struct {
	self   string
	nodes  map[string]*entry
	known  map[string]share.Use
	paces  map[string]pace
	sum    Sum
	summed time.Time
}

// pace is the smoothed pace of a backend server.
type pace struct {
	ms float64
	at time.Time // Of the latest measurement.
}

const (
	// sumEvery is how often sums are made anew; all reports in between get the same.
	sumEvery = 15 * time.Millisecond
	// paceSmoothing is the weight of a report in the pace of a backend server.
	paceSmoothing = 0.3
	// paceRetention is how long the pace of a backend server is kept that nobody measures any more.
	paceRetention = time.Minute
)

// Sum is what instances have reported, over all of them.
type Sum struct {
	Loads map[string]place.Load
	Sick  map[string]int                   // Instances that failed to reach a backend server.
	JSON  json.RawMessage                  // Loads, encoded.
	Of    map[string]map[string]place.Load // What the sum holds of each instance.
}

// entry is the latest report of an instance.
type entry struct {
	report Report
	at     time.Time
}

// NewTable returns the table of an instance that has got no report.
func NewTable(self string) *Table {
	return &Table{self: self, nodes: map[string]*entry{}, known: map[string]share.Use{}, paces: map[string]pace{}}
}

// Take takes in a report and returns the use in it that was not known yet.
func (t *Table) Take(now time.Time, r Report) map[string]share.Use {
	e := t.nodes[r.Node]
	if e != nil && e.report.Run == r.Run && e.report.Sequence >= r.Sequence {
		// A repeat or a late one: what it says was taken in before or is outdated.
		return nil
	}
	t.nodes[r.Node] = &entry{report: r, at: now}
	for id, ms := range r.Paces {
		p, known := t.paces[id]
		if !known {
			p.ms = ms
		}
		t.paces[id] = pace{ms: p.ms + paceSmoothing*(ms-p.ms), at: now}
	}
	t.Use(r.Used)
	return r.Used
}

// Use adds what teams have used.
func (t *Table) Use(used map[string]share.Use) {
	for team, u := range used {
		t.known[team] = t.known[team].Plus(u)
	}
}

// Known returns the use by team as far as this instance knows.
func (t *Table) Known() map[string]share.Use { return maps.Clone(t.known) }

// Nodes returns the instances that reported lately and this one, in order of name, without those that stop: these get no
// new requests.
func (t *Table) Nodes(now time.Time) []string {
	nodes := []string{t.self}
	for name, e := range t.nodes {
		if now.Sub(e.at) < current && !e.report.Stopping {
			nodes = append(nodes, name)
		}
	}
	sort.Strings(nodes)
	return nodes
}

// Stopping returns the instances that reported lately that they stop. What they have at backend servers still counts.
func (t *Table) Stopping(now time.Time) []string {
	var nodes []string
	for name, e := range t.nodes {
		if now.Sub(e.at) < current && e.report.Stopping {
			nodes = append(nodes, name)
		}
	}
	return nodes
}

// Sum returns the sum of the latest reports; it may be up to sumEvery old. Own returns what this instance knows itself: its
// loads and those of instances for which it places, by instance, which go before the reports, and sick backend servers.
func (t *Table) Sum(now time.Time, own func() (of map[string]map[string]place.Load, sick []string)) (Sum, error) {
	if now.Sub(t.summed) < sumEvery && !t.summed.IsZero() {
		return t.sum, nil
	}
	of, ids := own()
	sum := Sum{Loads: map[string]place.Load{}, Sick: map[string]int{}, Of: map[string]map[string]place.Load{}}
	maps.Copy(sum.Of, of)
	for _, id := range ids {
		sum.Sick[id]++
	}
	for _, e := range t.nodes {
		if now.Sub(e.at) >= current {
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
	t.sum, t.summed = sum, now
	return sum, nil
}

// Paces returns what instances have measured.
func (t *Table) Paces() map[string]float64 {
	paces := make(map[string]float64, len(t.paces))
	for id, p := range t.paces {
		paces[id] = p.ms
	}
	return paces
}

// Sweep forgets instances that have not reported for long.
func (t *Table) Sweep(now time.Time) {
	for name, e := range t.nodes {
		if now.Sub(e.at) > 10*current {
			delete(t.nodes, name)
		}
	}
	for id, p := range t.paces {
		if now.Sub(p.at) > paceRetention {
			delete(t.paces, id)
		}
	}
}
