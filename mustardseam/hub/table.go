package hub

import (
	"maps"
	"sort"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/place"
	"github.com/mustardseam/mustardseam/mustardseam/share"
)

// current is how long a report counts. Several reports may be lost before an instance is taken for gone.
const current = 2 * time.Second

// Table is what a hub knows from reports; it is not safe for concurrent use.
type Table struct {
	self  string
	nodes map[string]*entry
	known map[string]share.Use
}

// entry is the latest report of an instance.
type entry struct {
	report Report
	at     time.Time
}

// NewTable returns the table of an instance that has got no report.
func NewTable(self string) *Table {
	return &Table{self: self, nodes: map[string]*entry{}, known: map[string]share.Use{}}
}

// Take takes in a report and returns the use in it that was not known yet.
func (t *Table) Take(now time.Time, r Report) map[string]share.Use {
	e := t.nodes[r.Node]
	if e != nil && e.report.Run == r.Run && e.report.Sequence >= r.Sequence {
		// A repeat or a late one: what it says was taken in before or is outdated.
		return nil
	}
	if r.Stopping {
		delete(t.nodes, r.Node)
	} else {
		t.nodes[r.Node] = &entry{report: r, at: now}
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

// Nodes returns the instances that reported lately and this one, in order of name.
func (t *Table) Nodes(now time.Time) []string {
	nodes := []string{t.self}
	for name, e := range t.nodes {
		if now.Sub(e.at) < current {
			nodes = append(nodes, name)
		}
	}
	sort.Strings(nodes)
	return nodes
}

// Loads returns the sum of what instances have sent.
func (t *Table) Loads(now time.Time) map[string]place.Load {
	sum := map[string]place.Load{}
	for _, e := range t.nodes {
		if now.Sub(e.at) < current {
			for id, l := range e.report.Loads {
				sum[id] = sum[id].Plus(l)
			}
		}
	}
	return sum
}

// Paces returns the mean of what instances have measured.
func (t *Table) Paces(now time.Time) map[string]float64 {
	sum, n := map[string]float64{}, map[string]float64{}
	for _, e := range t.nodes {
		if now.Sub(e.at) < current {
			for id, p := range e.report.Paces {
				sum[id] += p
				n[id]++
			}
		}
	}
	for id := range sum {
		sum[id] /= n[id]
	}
	return sum
}

// Sick counts the instances that avoid a backend server.
func (t *Table) Sick(now time.Time) map[string]int {
	sick := map[string]int{}
	for _, e := range t.nodes {
		if now.Sub(e.at) < current {
			for _, id := range e.report.Sick {
				sick[id]++
			}
		}
	}
	return sick
}

// Sweep forgets instances that have not reported for long.
func (t *Table) Sweep(now time.Time) {
	for name, e := range t.nodes {
		if now.Sub(e.at) > 10*current {
			delete(t.nodes, name)
		}
	}
}
