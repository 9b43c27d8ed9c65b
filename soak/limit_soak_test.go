package soak

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/mustardseam/mustardseam/platform/platformtest"
)

const (
	// limitContactTime is the time within which all instances must keep to a request limit.
	limitContactTime = 3 * time.Second
	// limitWindow is the window over which the requests to a backend server with a limit are counted.
	limitWindow = 4 * time.Second
	// maxLimit is the highest limit in requests per second.
	maxLimit = 6.0
)

// limitPeriod is a time during which a backend server names the same request limit.
type limitPeriod struct {
	backend   *platformtest.Backend
	perSecond float64
	from, to  time.Time
}

// excuse is a time during which an instance was stopped or paused.
type excuse struct {
	instance string
	from, to time.Time
	planned  bool // The instance was only asked to stop.
}

// excuse excuses an instance from a time until now.
func (s *site) excuse(p *process, from time.Time, planned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excuses = append(s.excuses, excuse{p.name, from, time.Now(), planned})
}

// pickVictim returns a process to stop or pause.
func (s *site) pickVictim(rnd *rand.Rand) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.oneVictim {
		s.victim = rnd.IntN(len(s.processes))
	}
	return s.processes[s.victim]
}

// setOneVictim decides whether only one process is stopped or paused from now on.
func (s *site) setOneVictim(only bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oneVictim = only
}

// limitRequests lets a random backend server name a request limit, lower it and withdraw it.
func (s *site) limitRequests(rnd *rand.Rand) {
	if !s.limiting.TryLock() {
		return
	}
	defer s.limiting.Unlock()
	s.setOneVictim(rnd.IntN(2) == 0)
	defer s.setOneVictim(false)
	b, limit := s.backends[rnd.IntN(len(s.backends))], maxLimit*rnd.Float64()
	s.logEvent("%s names a limit of %.2f", b.ID, limit)
	b.SetLimit(limit)
	time.Sleep(randomDuration(rnd, time.Second))
	limit *= rnd.Float64()
	from := time.Now()
	s.logEvent("%s lowers its limit to %.2f", b.ID, limit)
	b.SetLimit(limit)
	time.Sleep(limitContactTime + limitWindow)
	p := limitPeriod{backend: b, perSecond: limit, from: from, to: time.Now()}
	s.logEvent("%s withdraws its limit", b.ID)
	b.WithdrawLimit()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = append(s.limits, p)
}

// checkLimits checks that all instances together kept to each limit, except for those that were stopped or paused.
func (s *site) checkLimits(c *clients, seed uint64) {
	s.t.Helper()
	sender := map[string]string{}
	for _, r := range c.snapshot() {
		sender[r.id] = r.instance
	}
	for _, p := range s.limits {
		excused := map[string]bool{}
		for _, e := range s.excuses {
			if e.from.Before(p.to) && e.to.After(p.from) {
				excused[e.instance] = true
			}
		}
		n := 0
		for _, a := range p.backend.Arrivals() {
			if a.At.After(p.from.Add(limitContactTime)) && a.At.Before(p.to) && !excused[sender[a.ID]] {
				n++
			}
		}
		allowed := int(1.5*p.perSecond*limitWindow.Seconds()) + 5
		s.t.Logf("seed %d: %d requests at a limit of %.2f, allowed %d, %d instances excused", seed, n, p.perSecond, allowed,
			len(excused))
		if n > allowed {
			s.t.Errorf("seed %d: %s got %d requests in %v at a limit of %.2f a second from %.2f s on, allowed %d\n%s", seed,
				p.backend.ID, n, limitWindow, p.perSecond, p.from.Sub(s.start).Seconds(), allowed, strings.Join(s.timeline, "\n"))
		}
	}
}
