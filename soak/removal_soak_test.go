package soak

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/mustardseam/mustardseam/platform/platformtest"
)

const (
	// minOutage and maxOutage bound an outage of the store that all instances notice.
	minOutage, maxOutage = 2200 * time.Millisecond, 4500 * time.Millisecond
	// stableTime is how long after an outage the store counts as stable.
	stableTime = 3 * time.Second
	// drainTime is how long after the removal of its entry a backend server may get requests, and lateTime how long later ones
	// are counted.
	drainTime, lateTime = 2 * time.Second, time.Second
	// stormTime and stormInterval are the length of a series of configurations and the time between two of them.
	stormTime, stormInterval = 2 * time.Second, 80 * time.Millisecond
)

// checkRemoval lets the store be away and come back, later removes the entry of a backend server, and checks that no instance
// sends it requests for too long. The other backend servers are full, so that each one in use is needed, and configurations in
// quick succession delay the news.
func (s *site) checkRemoval(rnd *rand.Rand, seed uint64) {
	s.t.Helper()
	f := []platformtest.Fault{platformtest.Unavailable, platformtest.Resetting}[rnd.IntN(2)]
	s.logEvent("store is %s before a removal", f)
	s.kv.SetFault(f)
	time.Sleep(minOutage + randomDuration(rnd, maxOutage-minOutage))
	s.kv.SetFault(platformtest.NoFault)
	s.logEvent("store is back")
	time.Sleep(stableTime + randomDuration(rnd, stableTime))
	leaving := rnd.IntN(len(s.backends))
	for n, b := range s.backends {
		if n != leaving {
			b.SetBehaviour(platformtest.Refusing)
		}
	}
	stormEnd := time.Now().Add(stormTime)
	s.writeConfigs(stormEnd.Add(-stormTime / 2))
	s.kv.Remove("servers/" + s.backends[leaving].ID)
	removed := time.Now()
	s.logEvent("entry of %s is removed", s.backends[leaving].ID)
	s.writeConfigs(stormEnd)
	time.Sleep(time.Until(removed.Add(drainTime + lateTime)))
	for _, a := range s.backends[leaving].Arrivals() {
		if late := a.At.Sub(removed); late > drainTime {
			s.t.Errorf("seed %d: %s got a request %v after its entry was removed, %v allowed\n%s", seed, s.backends[leaving].ID, late,
				drainTime, strings.Join(s.timeline, "\n"))
			break
		}
	}
	s.registerBackend(leaving, "ready")
	for _, b := range s.backends {
		b.SetBehaviour(platformtest.Good)
	}
}

// writeConfigs writes configurations in quick succession until a time.
func (s *site) writeConfigs(until time.Time) {
	for time.Now().Before(until) {
		s.writeConfig()
		time.Sleep(stormInterval)
	}
}
