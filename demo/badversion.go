package main

import (
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/operator"
	"github.com/mustardseam/mustardseam/standin/engine"
)

const (
	badRollout  = "demo-rollout"
	badVersion  = "v2"
	badServers  = 3
	canaryShare = 0.05
	// evidentBound is the time after which a version whose fault is evident gets no more requests (design 4.1).
	evidentBound = 2 * time.Second
)

// badVersion rolls a version out that fails every request, and counts what it gets.
func (r *demoRun) badVersion() {
	first := len(r.cluster.Engines)
	for n := range badServers {
		e, err := r.cluster.AddEngine(n, badVersion)
		if err != nil {
			r.fail("start engine: %v", err)
			return
		}
		e.SetFaults(engine.Faults{FailEvery: 1})
	}
	before := r.admittedBetween(0, len(r.cluster.Engines))
	now := time.Now()
	r.submit(badRollout, func(d operator.Document) operator.Document {
		return d.WithRoute(d.Routes[0].WithRollout(operator.Rollout{
			ID: badRollout, To: badVersion, CanaryShare: canaryShare, Start: now, Deadline: r.end,
		}))
	})
	for !r.marked() {
		if time.Now().After(r.end) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	bad := r.admittedBetween(first, first+badServers)
	total := r.admittedBetween(0, first+badServers) - before
	time.Sleep(evidentBound)
	late := r.admittedBetween(first, first+badServers)
	time.Sleep(time.Until(r.end))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes.badSeen = true
	r.notes.badShare = float64(bad) / float64(max(1, total))
	// One request may go to a new version at once, so that evidence begins.
	r.notes.badOver = max(0, bad-1-int(canaryShare*float64(total)))
	r.notes.badLate = r.admittedBetween(first, first+badServers) - late
}

// marked reports whether any instance holds the mark of the rollback.
func (r *demoRun) marked() bool {
	for n := range r.cluster.Instances() {
		if i := r.cluster.Instance(n); i != nil && slices.Contains(i.State().Marks, badRollout) {
			return true
		}
	}
	return false
}

// admittedBetween returns the requests that the engines of the given numbers have admitted.
func (r *demoRun) admittedBetween(from, to int) int {
	total := 0
	for _, e := range r.cluster.Engines[from:to] {
		total += e.Stats().Admitted
	}
	return total
}
