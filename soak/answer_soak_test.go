package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"
)

// disruptionMargin is how long after a disruption of an instance its connections may end.
const disruptionMargin = time.Second

// stopUnderLoad stops an instance while half of the callers still come to it and all backend servers work for long on each request.
// Whether the accepted requests get their answers is left to checkAnswers.
func (s *site) stopUnderLoad(rnd *rand.Rand) {
	work := maxWork/8 + randomDuration(rnd, maxWork/2)
	for _, b := range s.backends {
		b.SetWork(work)
	}
	p := s.processes[rnd.IntN(len(s.processes))]
	s.logEvent("%s is stopped while requests take %v", p.name, work)
	s.overuse(p)
	time.Sleep(randomDuration(rnd, 2*work))
	from, killed := time.Now(), p.stop(syscall.SIGTERM)
	s.overuse(nil)
	s.excuse(p, from, !killed)
	if err := p.start(); err != nil {
		s.t.Error(err)
	}
	for _, b := range s.backends {
		b.SetWork(0)
	}
}

// overuse makes half of the callers come to an instance; nil means none.
func (s *site) overuse(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overused = p
}

// checkAnswers checks that each request that ran has got an answer, except at instances that were killed or paused.
func (s *site) checkAnswers(c *clients, seed uint64) {
	s.t.Helper()
	runs, answered := s.countRuns(), 0
	for _, r := range c.snapshot() {
		if r.status != 0 || runs[r.id] == 0 || r.ended.Sub(r.at) >= requestTimeout || s.wasDisrupted(r) {
			answered++
			continue
		}
		var lines []string
		for _, p := range s.processes {
			lines = append(lines, p.log.lines(r.id)...)
		}
		s.t.Errorf("seed %d, %.2f s: request %s (%s) ran and got no answer from %s after %v: %v\nlog:\n%s\ntimeline:\n%s", seed,
			r.at.Sub(s.start).Seconds(), r.id, r.kind, r.instance, r.ended.Sub(r.at), r.err, strings.Join(lines, "\n"),
			strings.Join(s.timeline, "\n"))
		return
	}
	s.t.Logf("seed %d: %d requests answered, disrupted or not run", seed, answered)
}

// wasDisrupted reports whether the instance of a request was killed or paused while it waited.
func (s *site) wasDisrupted(r result) bool {
	return slices.ContainsFunc(s.excuses, func(e excuse) bool {
		return e.instance == r.instance && !e.planned && e.from.Before(r.ended) && e.to.Add(disruptionMargin).After(r.at)
	})
}
