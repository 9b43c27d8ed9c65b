package soak

import (
	"flag"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// gaps runs the measurement of gaps, whose verdict depends on the machine; it is not part of CI.
var gaps = flag.Bool("soak.gap", false, "measure the gaps in service when an instance is lost")

const (
	// longestGap is the longest time without an answer of the other instances when one is lost.
	longestGap = 300 * time.Millisecond
	// longestStart is the longest time from the start of all instances to the first answer.
	longestStart = 1500 * time.Millisecond
	// gapBefore and gapAfter are how long answers are watched around a loss.
	gapBefore = time.Second
	gapAfter  = 4 * time.Second
)

// TestGap guards against service that stops while the instances find out that one of them is lost: the one that passes
// changes and loads on, or another.
func TestGap(t *testing.T) {
	if !*gaps {
		t.Skip("runs by hand with -soak.gap")
	}
	losses := []struct {
		name string
		lose func(p *process)
	}{
		{"kill", func(p *process) { p.signal(syscall.SIGKILL) }},
		{"pause", func(p *process) { p.signal(syscall.SIGSTOP) }},
		{"cut from the store", func(p *process) { p.store.set(silence) }},
	}
	program := build(t)
	for _, loss := range losses {
		for victim := range instances {
			t.Run(loss.name+" "+string(rune('0'+victim)), func(t *testing.T) { gap(t, program, victim, loss.lose) })
		}
	}
}

// gap loses an instance under load and checks the longest time without an answer of the others.
func gap(t *testing.T, program string, victim int, lose func(p *process)) {
	s, c := newSite(t, program), &clients{}
	others := slices.Concat(s.processes[:victim], s.processes[victim+1:])
	s.ready = others // Nobody balances, so the clients stay away from the victim throughout.
	stop := make(chan struct{})
	var running sync.WaitGroup
	for n := range callers {
		rnd := rand.New(rand.NewPCG(uint64(victim), uint64(n)))
		running.Go(func() { c.run(rnd, s, stop) })
	}
	first := time.Time{}
	for end := time.Now().Add(10 * longestStart); first.IsZero() && time.Now().Before(end); time.Sleep(time.Millisecond) {
		if i := slices.IndexFunc(c.all(), func(r result) bool { return r.status == 200 }); i >= 0 {
			first = c.all()[i].ended
		}
	}
	assert.Assert(t, !first.IsZero(), "no answer")
	time.Sleep(gapBefore)
	lost := time.Now()
	lose(s.processes[victim])
	time.Sleep(gapAfter)
	close(stop)
	running.Wait()
	s.processes[victim].signal(syscall.SIGCONT)
	longest := longestPause(c.all(), lost)
	t.Logf("first answer %v after the start, longest gap %v", first.Sub(s.start), longest)
	report(t, s, c, uint64(victim))
	assert.Assert(t, first.Sub(s.start) <= longestStart, "first answer %v after the start", first.Sub(s.start))
	assert.Assert(t, longest <= longestGap, "%v without an answer", longest)
}

// longestPause returns the longest time between two good answers from a moment on.
func longestPause(results []result, from time.Time) time.Duration {
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
