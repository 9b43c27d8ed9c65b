package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/mustardseam/mustardseam/platform/platformtest"
)

const (
	// crashContactTime is the time after the crash numbered knownCrashes within which all instances must know a prompt part
	// that crashes backend servers.
	crashContactTime = 3 * time.Second
	knownCrashes     = 5
	// maxDeadlyArrivals is how many requests with the part may reach backend servers after that.
	maxDeadlyArrivals = 3
	// deadlyShare is the share of streams with such a part while there is one.
	deadlyShare = 0.2
)

// deadlyPeriod is a time during which clients send a prompt part that crashes backend servers.
type deadlyPeriod struct {
	part     string
	from, to time.Time
}

// prompt returns the parts of the prompt of a stream.
func (s *site) prompt(rnd *rand.Rand, id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := fmt.Sprintf("a%d:9,", rnd.IntN(3))
	if s.deadly != "" && rnd.Float64() < deadlyShare {
		parts += s.deadly + ":9,"
	}
	return parts + id + ":9"
}

// crashBackends lets clients send a prompt part on which all backend servers crash.
func (s *site) crashBackends(rnd *rand.Rand) {
	if !s.crashing.TryLock() {
		return
	}
	defer s.crashing.Unlock()
	forms := []platformtest.CrashForm{
		platformtest.CrashBeforeAnswer, platformtest.CrashAfterHeader, platformtest.CrashInEvent, platformtest.CrashUnframed,
	}
	p := deadlyPeriod{part: fmt.Sprintf("de%x", rnd.Uint32()), from: time.Now()}
	form := forms[rnd.IntN(len(forms))]
	s.logEvent("backend servers crash on %s, %s", p.part, form)
	for n, b := range s.backends {
		b.CrashOn(p.part, form, func() { s.registerBackend(n, "ready") })
	}
	s.setDeadly(p.part)
	time.Sleep(2*crashContactTime + randomDuration(rnd, 2*time.Second))
	s.setDeadly("")
	p.to = time.Now()
	for _, b := range s.backends {
		b.Survive(p.part)
	}
	s.logEvent("no more requests with %s", p.part)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadlyPeriods = append(s.deadlyPeriods, p)
}

func (s *site) setDeadly(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadly = part
}

// checkDeadlyParts checks that few requests reached backend servers with each part once it had crashed several, except for
// those of instances that were stopped or paused.
func (s *site) checkDeadlyParts(c *clients, seed uint64) {
	s.t.Helper()
	sender := map[string]string{}
	for _, r := range c.snapshot() {
		sender[r.id] = r.instance
	}
	for _, p := range s.deadlyPeriods {
		var crashes []time.Time
		for _, b := range s.backends {
			crashes = append(crashes, b.CrashesOn(p.part)...)
		}
		slices.SortFunc(crashes, time.Time.Compare)
		if len(crashes) < knownCrashes {
			continue
		}
		from := crashes[knownCrashes-1].Add(crashContactTime)
		n := 0
		for _, b := range s.backends {
			for _, a := range b.Arrivals() {
				if platformtest.HasSharedPart(a.Prompt, p.part) && a.At.After(from) && !s.excusedAt(sender[a.ID], a.At) {
					n++
				}
			}
		}
		s.t.Logf("seed %d: %d crashes on %s, %d requests after the bound, allowed %d", seed, len(crashes), p.part, n, maxDeadlyArrivals)
		if n > maxDeadlyArrivals {
			s.t.Errorf("seed %d: %d requests with %s reached backend servers from %.2f s on, allowed %d\n%s", seed, n, p.part,
				from.Sub(s.start).Seconds(), maxDeadlyArrivals, strings.Join(s.timeline, "\n"))
		}
	}
}

// excusedAt reports whether an instance was stopped or paused within crashContactTime before a time.
func (s *site) excusedAt(instance string, at time.Time) bool {
	return slices.ContainsFunc(s.excuses, func(e excuse) bool {
		return e.instance == instance && e.from.Before(at) && e.to.Add(crashContactTime).After(at)
	})
}
