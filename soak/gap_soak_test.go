package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// measureGaps enables TestGap, whose result depends on the machine. It is not part of CI.
var measureGaps = flag.Bool("soak.gap", false, "measure the gaps in service when an instance is lost")

const (
	// maxGap is the maximum time without an answer from the other instances when one fails.
	maxGap = 300 * time.Millisecond
	// maxStartTime is the maximum time from the start of all instances to the first answer.
	maxStartTime = 1500 * time.Millisecond
	// warmupTime and observationTime are how long answers are observed before and after a failure.
	warmupTime      = time.Second
	observationTime = 4 * time.Second
)

// TestGap guards against an interruption of service while the instances detect that one of them has failed, whether or not
// it is the one that distributes changes and loads.
func TestGap(t *testing.T) {
	if !*measureGaps {
		t.Skip("runs by hand with -soak.gap")
	}
	losses := []struct {
		name   string
		inject func(p *process)
	}{
		{"kill", func(p *process) { p.signal(syscall.SIGKILL) }},
		{"pause", func(p *process) { p.signal(syscall.SIGSTOP) }},
		{"cut from the store", func(p *process) { p.store.setMode(blockBoth) }},
	}
	program := build(t)
	for _, engines := range []bool{false, true} {
		for _, loss := range losses {
			for victim := range instances {
				t.Run(fmt.Sprintf("%s %d, engines %t", loss.name, victim, engines), func(t *testing.T) {
					runGap(t, program, victim, engines, loss.inject)
				})
			}
		}
	}
}

// runGap makes an instance fail under load and checks the longest time without an answer from the others.
func runGap(t *testing.T, program string, victim int, engines bool, inject func(p *process)) {
	s, c := newSite(t, program), &clients{}
	if engines {
		s.engines = true
		s.writeConfig()
	}
	others := slices.Concat(s.processes[:victim], s.processes[victim+1:])
	s.ready = others // pollReadiness does not run, so clients never use the victim.
	stop := make(chan struct{})
	var running sync.WaitGroup
	for n := range callers {
		rnd := rand.New(rand.NewPCG(uint64(victim), uint64(n)))
		running.Go(func() { c.run(rnd, s, stop) })
	}
	first := time.Time{}
	for end := time.Now().Add(10 * maxStartTime); first.IsZero() && time.Now().Before(end); time.Sleep(time.Millisecond) {
		if i := slices.IndexFunc(c.snapshot(), func(r result) bool { return r.status == 200 }); i >= 0 {
			first = c.snapshot()[i].ended
		}
	}
	assert.Assert(t, !first.IsZero(), "no answer")
	time.Sleep(warmupTime)
	lost := time.Now()
	inject(s.processes[victim])
	time.Sleep(observationTime)
	close(stop)
	running.Wait()
	s.processes[victim].signal(syscall.SIGCONT)
	longest := longestGap(c.snapshot(), lost)
	refused := 0
	for _, p := range others {
		refused += len(p.log.lines("too much waits already"))
	}
	t.Logf("first answer %v after the start, longest gap %v, %d refused for the queue", first.Sub(s.start), longest, refused)
	checkResults(t, s, c, uint64(victim))
	assert.Assert(t, first.Sub(s.start) <= maxStartTime, "first answer %v after the start", first.Sub(s.start))
	assert.Assert(t, longest <= maxGap, "%v without an answer", longest)
	assert.Equal(t, refused, 0, "refused at half load")
}

// longestGap returns the longest time without a successful answer between from and the last successful answer.
func longestGap(results []result, from time.Time) time.Duration {
	var longest time.Duration
	last := from
	for _, r := range results {
		if r.status != 200 || !r.ended.After(from) {
			continue
		}
		longest = max(longest, r.ended.Sub(last))
		last = r.ended
	}
	return longest
}
