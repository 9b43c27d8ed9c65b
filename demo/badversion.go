package main

import (
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/operator"
	"github.com/mustardseam/mustardseam/standin/engine"
)

const (
	badRollout     = "demo-rollout"
	badVersion     = "v2"
	badServerCount = 3
	canaryShare    = 0.05
	// rollbackBound is the time after a rollback begins in which requests may still reach the bad version (design 4.1).
	rollbackBound = 2 * time.Second
)

// rollOutBadVersion rolls out a version that fails every request and counts the requests that reach it.
func (r *demoRun) rollOutBadVersion() {
	first := len(r.cluster.Engines)
	for n := range badServerCount {
		e, err := r.cluster.AddEngine(n, badVersion)
		if err != nil {
			r.addFailure("start engine: %v", err)
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
	for !r.rollbackMarked() {
		if time.Now().After(r.end) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	bad := r.admittedBetween(first, first+badServerCount)
	total := r.admittedBetween(0, first+badServerCount) - before
	time.Sleep(rollbackBound)
	late := r.admittedBetween(first, first+badServerCount)
	time.Sleep(time.Until(r.end))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed.badRolledBack = true
	r.observed.badShare = float64(bad) / float64(max(1, total))
	// The first request may always go to a new version, because the rollout needs a first observation.
	r.observed.badExcess = max(0, bad-1-int(canaryShare*float64(total)))
	r.observed.badLate = r.admittedBetween(first, first+badServerCount) - late
}

// rollbackMarked reports whether any instance has recorded the rollback of badRollout.
func (r *demoRun) rollbackMarked() bool {
	for n := range r.cluster.Instances() {
		if i := r.cluster.Instance(n); i != nil && slices.Contains(i.State().Marks, badRollout) {
			return true
		}
	}
	return false
}

// admittedBetween returns the number of requests admitted by the engines with indexes in [from, to).
func (r *demoRun) admittedBetween(from, to int) int {
	total := 0
	for _, e := range r.cluster.Engines[from:to] {
		total += e.Stats().Admitted
	}
	return total
}
