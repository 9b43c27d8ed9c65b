package soak

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/platform/platformtest"
)

// restoreStore lets the store come back from a copy that lacks what was written in the last seconds. Operators and backend
// servers write theirs again.
func (s *site) restoreStore(rnd *rand.Rand) {
	if !s.restoring.TryLock() {
		return
	}
	defer s.restoring.Unlock()
	c := s.kv.Copy()
	time.Sleep(randomDuration(rnd, 3*time.Second))
	s.logEvent("store is away and comes back from a copy")
	s.kv.SetFault(platformtest.Unavailable)
	time.Sleep(randomDuration(rnd, time.Second))
	s.kv.Restore(c)
	s.kv.SetFault(platformtest.NoFault)
	time.Sleep(randomDuration(rnd, 500*time.Millisecond))
	s.kv.WriteAgain()
	s.logEvent("operators and backend servers have written again")
}

// checkVersion checks that the latest configuration is in force at all instances within recoveryTime.
func (s *site) checkVersion(seed uint64) {
	s.t.Helper()
	end := time.Now().Add(recoveryTime)
	for _, p := range s.processes {
		version := 0
		for version != s.version && time.Now().Before(end) {
			time.Sleep(readyPoll)
			version = p.configVersion()
		}
		assert.Equal(s.t, version, s.version, "seed %d: configuration of %s\n%s", seed, p.name, strings.Join(s.timeline, "\n"))
	}
}

// configVersion asks the process for the version of the configuration in force; it returns 0 if there is no answer.
func (p *process) configVersion() int {
	resp, err := p.http.Get("http://" + p.readyAddr + "/state")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var state struct {
		Version int `json:"configuration-version"`
	}
	if json.NewDecoder(resp.Body).Decode(&state) != nil {
		return 0
	}
	return state.Version
}
