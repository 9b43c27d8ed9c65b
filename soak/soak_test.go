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
	// recoveryTime is how long after the last fault all callers must be served again.
	recoveryTime = 12 * time.Second
	// calm is the number of requests in a row that must succeed then.
	calm = 40
	// settleTime is how long backend servers may still work on requests that were given up.
	settleTime = 500 * time.Millisecond
)

// regressions lists seeds that failed once, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// TestSoak guards against broken promises under faults that no single test thinks of: what may run once runs once, "not
// run" is true, answers are whole and belong to their requests, streams have no gaps, and service comes back.
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
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, program, seed) })
	}
}

func soak(t *testing.T, program string, seed uint64) {
	s, c := newSite(t, program), &clients{}
	stopAll, stopFaults := make(chan struct{}), make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { s.balance(stopAll) })
	for n := range callers {
		rnd := rand.New(rand.NewPCG(seed, uint64(n)))
		running.Go(func() { c.run(rnd, s, stopAll) })
	}
	time.AfterFunc(*duration, func() { close(stopFaults) })
	s.disturb(rand.New(rand.NewPCG(seed, 1000)), stopFaults)
	s.note("faults are over")
	recovered := regain(c)
	close(stopAll)
	running.Wait()
	time.Sleep(settleTime)
	report(t, s, c, seed)
	assert.Assert(t, recovered, "seed %d: not every request succeeds %v after the last fault\n%s", seed, recoveryTime,
		strings.Join(s.timeline, "\n"))
}

// regain waits until requests succeed in a row.
func regain(c *clients) bool {
	end := time.Now().Add(recoveryTime)
	from := len(c.all())
	for time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		results := c.all()[from:]
		row := 0
		for _, r := range results {
			row++
			if r.status != 200 {
				row = 0
			}
		}
		if row >= calm {
			return true
		}
	}
	return false
}

// report checks every result and shows the first broken promise with the timeline and the log of the request.
func report(t *testing.T, s *site, c *clients, seed uint64) {
	t.Helper()
	runs, statuses := s.runs(), map[int]int{}
	for _, r := range c.all() {
		statuses[r.status]++
		broken := r.check(runs[r.id])
		if broken == "" {
			continue
		}
		var lines []string
		for _, p := range s.processes {
			lines = append(lines, p.log.lines(r.id)...)
		}
		t.Errorf("seed %d, %.2f s: request %s (%s) at %s: %s\nlog:\n%s\ntimeline:\n%s", seed, r.at.Sub(s.start).Seconds(), r.id,
			r.kind, r.instance, broken, strings.Join(lines, "\n"), strings.Join(s.timeline, "\n"))
		return
	}
	t.Logf("seed %d: %d requests, by status %v, %d faults noted", seed, len(c.all()), statuses, len(s.timeline))
}
