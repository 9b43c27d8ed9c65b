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
	// knownRequestCrashes is knownCrashes for a request that crashes backend servers by itself.
	knownRequestCrashes = 3
	// maxDeadlyArrivals is how many requests with the part may reach backend servers after that.
	maxDeadlyArrivals = 3
	// deadlyShare is the share of streams with such a part while there is one.
	deadlyShare = 0.2
)

// deadlyPeriod is a time during which clients send a prompt part, or a request with a body, that crashes backend servers.
type deadlyPeriod struct {
	part, body string // One of them is empty.
	form       platformtest.CrashForm
	from, to   time.Time
}

// crashes returns the times of the crashes of a backend server in the period.
func (p deadlyPeriod) crashes(b *platformtest.Backend) []time.Time {
	if p.body != "" {
		return b.CrashesOnBody(p.body)
	}
	return b.CrashesOn(p.part)
}

// apply makes a backend server crash on the part or the requests.
func (p deadlyPeriod) apply(b *platformtest.Backend, register func()) {
	if p.body != "" {
		b.CrashOnRequest("team", p.body, p.form, register)
	} else {
		b.CrashOn(p.part, p.form, register)
	}
}

// includes reports whether a request crashes backend servers.
func (p deadlyPeriod) includes(a platformtest.Arrival) bool {
	return p.body != "" && a.Body == p.body || p.part != "" && platformtest.HasSharedPart(a.Prompt, p.part)
}

// known returns the number of crashes after which requests must be refused.
func (p deadlyPeriod) known() int {
	if p.body != "" {
		return knownRequestCrashes
	}
	return knownCrashes
}

// body returns the body of a request.
func (s *site) body(rnd *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadly.body != "" && rnd.Float64() < deadlyShare {
		return s.deadly.body
	}
	return "body"
}

// prompt returns the parts of the prompt of a stream.
func (s *site) prompt(rnd *rand.Rand, id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := fmt.Sprintf("a%d:9,", rnd.IntN(3))
	if s.deadly.part != "" && rnd.Float64() < deadlyShare {
		parts += s.deadly.part + ":9,"
	}
	return parts + id + ":9"
}

// crashBackends lets clients send a prompt part, or a request, on which all backend servers crash.
func (s *site) crashBackends(rnd *rand.Rand, p deadlyPeriod) {
	if !s.crashing.TryLock() {
		return
	}
	defer s.crashing.Unlock()
	forms := []platformtest.CrashForm{
		platformtest.CrashBeforeAnswer, platformtest.CrashAfterHeader, platformtest.CrashInEvent, platformtest.CrashUnframed,
	}
	p.form = forms[rnd.IntN(len(forms))]
	s.logEvent("backend servers crash on %s, %s", p.part+p.body, p.form)
	p.from = time.Now()
	for n, b := range s.backends {
		p.apply(b, func() { s.registerBackend(n, "ready") })
	}
	s.setDeadly(p)
	time.Sleep(2*crashContactTime + randomDuration(rnd, 2*time.Second))
	s.setDeadly(deadlyPeriod{})
	p.to = time.Now()
	for _, b := range s.backends {
		b.Survive(p.part + p.body)
	}
	s.logEvent("no more requests with %s", p.part+p.body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadlyPeriods = append(s.deadlyPeriods, p)
}

func (s *site) setDeadly(p deadlyPeriod) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadly = p
	if p.part+p.body == "" {
		return
	}
	for _, b := range s.newVersions {
		p.apply(b, func() {})
	}
}

// checkDeadlyParts checks that few requests reached backend servers with each part once it had crashed several, except for
// those of instances that were stopped or paused.
func (s *site) checkDeadlyParts(c *clients, seed uint64) {
	s.t.Helper()
	sender := map[string]string{}
	for _, r := range c.snapshot() {
		sender[r.id] = r.instance
	}
	all := append(s.newVersions, s.backends...)
	for _, p := range s.deadlyPeriods {
		var crashes []time.Time
		for _, b := range all {
			crashes = append(crashes, p.crashes(b)...)
		}
		slices.SortFunc(crashes, time.Time.Compare)
		if len(crashes) < p.known() {
			continue
		}
		from := crashes[p.known()-1].Add(crashContactTime)
		n := 0
		for _, b := range all {
			for _, a := range b.Arrivals() {
				if p.includes(a) && a.At.After(from) && !s.excusedAt(sender[a.ID], a.At) {
					n++
				}
			}
		}
		s.t.Logf("seed %d: %d crashes on %s, %d requests after the bound, allowed %d", seed, len(crashes), p.part+p.body, n, maxDeadlyArrivals)
		if n > maxDeadlyArrivals {
			s.t.Errorf("seed %d: %d requests with %s reached backend servers from %.2f s on, allowed %d\n%s", seed, n, p.part+p.body,
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
