package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed")
	seeds     = flag.Int("soak.seeds", 1, "number of seeds")
	duration  = flag.Duration("soak.for", 5*time.Second, "time for which faults are injected with each seed")
)

const (
	// recoveryTime is the time after the last fault within which all callers must be served again.
	recoveryTime = 12 * time.Second
	// recoveredRequests is the number of consecutive requests that must succeed within recoveryTime.
	recoveredRequests = 40
	// settleTime is how long backend servers may keep working on abandoned requests.
	settleTime = 500 * time.Millisecond
)

// regressions lists seeds that failed in the past, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// TestSoak guards against violations of the guarantees under combinations of faults that no other test covers:
// non-idempotent requests that run twice, requests that ran but are answered as not run, answers that are incomplete or
// belong to another request, gaps in streams, request limits that are exceeded, prompt parts that crash one backend server after
// the other, requests without an answer around planned stops, use of removed backend servers, and service that does not recover.
func TestSoak(t *testing.T) {
	program := build(t)
	var list []uint64
	for n := range *seeds {
		list = append(list, *firstSeed+uint64(n))
	}
	for _, r := range regressions {
		list = append(list, r.seed)
	}
	for _, seed := range list {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSoak(t, program, seed) })
	}
}

func runSoak(t *testing.T, program string, seed uint64) {
	s, c := newSite(t, program), &clients{}
	stopAll, stopFaults := make(chan struct{}), make(chan struct{})
	var workers sync.WaitGroup
	workers.Go(func() { s.pollReadiness(stopAll) })
	for n := range callers {
		rnd := rand.New(rand.NewPCG(seed, uint64(n)))
		workers.Go(func() { c.run(rnd, s, stopAll) })
	}
	time.AfterFunc(*duration, func() { close(stopFaults) })
	s.injectFaults(rand.New(rand.NewPCG(seed, 1000)), stopFaults)
	s.logEvent("faults are over")
	recovered := waitForRecovery(c)
	s.checkVersion(seed)
	s.stopUnderLoad(rand.New(rand.NewPCG(seed, 3000)))
	s.checkRemoval(rand.New(rand.NewPCG(seed, 2000)), seed)
	close(stopAll)
	workers.Wait()
	time.Sleep(settleTime)
	checkResults(t, s, c, seed)
	s.checkAnswers(c, seed)
	s.checkLimits(c, seed)
	s.checkDeadlyParts(c, seed)
	assert.Assert(t, recovered, "seed %d: not every request succeeds %v after the last fault\n%s", seed, recoveryTime,
		strings.Join(s.timeline, "\n"))
}

// waitForRecovery waits until recoveredRequests consecutive requests succeed and reports whether they did within
// recoveryTime.
func waitForRecovery(c *clients) bool {
	end := time.Now().Add(recoveryTime)
	faultsOver := len(c.snapshot())
	for time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		results := c.snapshot()[faultsOver:]
		successes := 0
		for _, r := range results {
			successes++
			if r.status != 200 {
				successes = 0
			}
		}
		if successes >= recoveredRequests {
			return true
		}
	}
	return false
}

// checkResults checks every result and reports the first violation with the timeline and the log lines of the request.
func checkResults(t *testing.T, s *site, c *clients, seed uint64) {
	t.Helper()
	runs, statuses := s.countRuns(), map[int]int{}
	for _, r := range c.snapshot() {
		statuses[r.status]++
		violation := r.check(runs[r.id])
		if violation == "" {
			continue
		}
		var lines []string
		for _, p := range s.processes {
			lines = append(lines, p.log.lines(r.id)...)
		}
		t.Errorf("seed %d, %.2f s: request %s (%s) at %s: %s\nlog:\n%s\ntimeline:\n%s", seed, r.at.Sub(s.start).Seconds(), r.id,
			r.kind, r.instance, violation, strings.Join(lines, "\n"), strings.Join(s.timeline, "\n"))
		return
	}
	t.Logf("seed %d: %d requests, by status %v, %d faults noted", seed, len(c.snapshot()), statuses, len(s.timeline))
}
