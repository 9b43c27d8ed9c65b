package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/mustardseam/mustardseam/platform/platformtest"
)

// rolloutDuration is the time to the deadline of a rollout.
const rolloutDuration = 4 * time.Second

// rollOutSlowVersion orders a rollout to a slow version and checks that it does not get all traffic.
func (s *site) rollOutSlowVersion(rnd *rand.Rand) {
	if !s.rolling.TryLock() {
		return
	}
	defer s.rolling.Unlock()
	version := fmt.Sprintf("v%x", rnd.Uint32())
	b, err := platformtest.NewBackend("b-"+version, 5*time.Millisecond)
	if err != nil {
		s.t.Error(err)
		return
	}
	s.t.Cleanup(b.Close)
	b.SetBehaviour(platformtest.Slow)
	s.mu.Lock()
	s.newVersions = append(s.newVersions, b)
	if s.deadly.part+s.deadly.body != "" {
		s.deadly.apply(b, func() {})
	}
	s.mu.Unlock()
	s.logEvent("rollout of slow version %s", version)
	s.kv.Put("op/rollout/pool", fmt.Appendf(nil, `{"service":"pool","target":%q,"durationS":%g}`, version, rolloutDuration.Seconds()))
	s.kv.Put("servers/"+b.ID, []byte(strings.Replace(string(b.Registration("pool", "ready")), `"v1"`, `"`+version+`"`, 1)))
	for end := time.Now().Add(rolloutDuration + time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		progress := string(s.kv.Get("status/rollout/pool"))
		if strings.Contains(progress, version) && strings.Contains(progress, `"complete"`) {
			s.t.Errorf("slow version %s is complete: %s\n%s", version, progress, strings.Join(s.timeline, "\n"))
			break
		}
	}
	s.logEvent("progress of the rollout: %s", s.kv.Get("status/rollout/pool"))
	s.kv.Remove("op/rollout/pool")
	s.kv.Remove("servers/" + b.ID)
}
