package hub

import (
	"maps"
	"time"
)

// demandSum adds up the demand that instances report. Its counts never fall: they continue when an instance is lost or starts
// again.
type demandSum struct {
	total    map[string]Demand            // Counts by service; Waiting is not used.
	reported map[string]map[string]Demand // Latest demand by instance and service.
	runs     map[string]int64             // Run of the latest report by instance.
}

func newDemandSum() *demandSum {
	return &demandSum{total: map[string]Demand{}, reported: map[string]map[string]Demand{}, runs: map[string]int64{}}
}

// add adds the demand that an instance counted in a run. The counts of an instance that reports for the first time are not
// new: they are from before the start of the sum.
func (s *demandSum) add(instance string, run int64, demand map[string]Demand) {
	previousRun, known := s.runs[instance]
	for service, d := range demand {
		increase := Demand{}
		switch {
		case known && previousRun == run:
			increase = d.since(s.reported[instance][service])
		case known:
			increase = d // The instance has started again since.
		}
		increase.Waiting = 0
		s.total[service] = s.total[service].Plus(increase)
	}
	s.reported[instance], s.runs[instance] = demand, run
}

// remove forgets an instance.
func (s *demandSum) remove(instance string) {
	delete(s.reported, instance)
	delete(s.runs, instance)
}

// sum returns the counts by service, and the waiting requests of the instances that are included.
func (s *demandSum) sum(included func(instance string) bool) map[string]Demand {
	sum := maps.Clone(s.total)
	for instance, demand := range s.reported {
		if !included(instance) {
			continue
		}
		for service, d := range demand {
			sum[service] = sum[service].Plus(Demand{Waiting: d.Waiting})
		}
	}
	return sum
}

// AddOwnDemand adds the demand that this instance counted.
func (a *Aggregator) AddOwnDemand(demand map[string]Demand) { a.demand.add(a.self, 0, demand) }

// Demand returns the demand for services over all instances since the start of the aggregator, by service. The waiting
// requests are those of instances with a valid report.
func (a *Aggregator) Demand(now time.Time) map[string]Demand {
	return a.demand.sum(func(instance string) bool {
		e := a.reports[instance]
		return instance == a.self || e != nil && now.Sub(e.at) < reportLifetime
	})
}
