package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/platform/platformtest"
)

const (
	instances = 4
	backends  = 4
	callers   = 8
	// bypassRatio is the number of new connections of which one ignores the readiness of the instances.
	bypassRatio = 6
	// readyPoll is the interval at which the readiness of the instances is polled.
	readyPoll = 200 * time.Millisecond
)

// site is a site under test: the instances, and the fakes of the store and the backend servers.
type site struct {
	t         *testing.T
	kv        *platformtest.KV
	processes []*process
	backends  []*platformtest.Backend
	links     []*proxy   // Proxies in front of the backend servers.
	limiting  sync.Mutex // Held while a backend server names a request limit.
	restoring sync.Mutex // Held while the store is restored from a copy.
	crashing  sync.Mutex // Held while a prompt part or a request crashes backend servers.
	rolling   sync.Mutex // Held during a rollout.
	start     time.Time

	mu            sync.Mutex
	ready         []*process // Guarded by mu, like all fields below.
	version       int
	engines       bool     // The backend servers are engines.
	overused      *process // Instance that gets half of the callers; nil for none.
	timeline      []string
	limits        []limitPeriod
	excuses       []excuse
	deadly        deadlyPeriod // What crashes backend servers; the zero value for nothing.
	newVersions   []*platformtest.Backend
	deadlyPeriods []deadlyPeriod
	victim        int  // The process that is stopped or paused next if oneVictim is set.
	oneVictim     bool // Only one process is stopped or paused, so that the others are not excused.
}

func newSite(t *testing.T, program string) *site {
	t.Helper()
	kv, err := platformtest.NewKV()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = kv.Close() })
	s := &site{t: t, kv: kv, start: time.Now()}
	s.writeConfig()
	for n := range backends {
		b, err := platformtest.NewBackend(fmt.Sprintf("b%d", n), 5*time.Millisecond)
		assert.NilError(t, err)
		t.Cleanup(b.Close)
		link, err := newProxy(b.Addr())
		assert.NilError(t, err)
		s.backends, s.links = append(s.backends, b), append(s.links, link)
		s.registerBackend(n, "ready")
	}
	control := make([]string, instances)
	for n := range control {
		control[n] = reserveAddress(t)
	}
	for n := range instances {
		store, err := newProxy(kv.Addr())
		assert.NilError(t, err)
		s.processes = append(s.processes, newProcess(t, program, n, control, store))
	}
	for _, p := range s.processes {
		assert.NilError(t, p.start())
		t.Cleanup(func() { p.stop(syscall.SIGKILL) })
	}
	return s
}

// writeConfig writes the next version of the configuration.
func (s *site) writeConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	route := func(kind, options string) string {
		return fmt.Sprintf(`{"name":%q,"host":"h.example","prefix":"/%s/","kind":%q,"timeoutMs":4000,"sloMs":500,"service":"pool"%s}`,
			kind, kind, kind, options)
	}
	engine := ""
	if s.engines {
		engine = `,"engine":{"stride":4}`
	}
	s.kv.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s,%s],"services":[{"name":"pool","healthPath":"/health"%s}],
		"limits":{"maxHeaderBytes":8192,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
		"tenants":[{"name":"team","apiKeys":["key"]}]}`, s.version,
		route("safe", `,"attempts":2`), route("unsafe", `,"attempts":1`), route("stream", `,"attempts":2,"resumable":true`), engine))
}

// registerBackend writes the registration of a backend server with the address of its link.
func (s *site) registerBackend(n int, state string) {
	b := s.backends[n]
	s.kv.Put("servers/"+b.ID, []byte(strings.Replace(string(b.Registration("pool", state)), b.Addr(), s.links[n].addr(), 1)))
}

// logEvent appends a line to the timeline.
func (s *site) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeline = append(s.timeline, fmt.Sprintf("%6.2f s  ", time.Since(s.start).Seconds())+fmt.Sprintf(format, args...))
}

// pollReadiness updates the list of ready instances until stop is closed.
func (s *site) pollReadiness(stop <-chan struct{}) {
	for {
		var ready []*process
		for _, p := range s.processes {
			if p.isReady() {
				ready = append(ready, p)
			}
		}
		s.mu.Lock()
		s.ready = ready
		s.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(readyPoll):
		}
	}
}

// pickInstance returns a random ready instance for a new connection, or any instance if none is ready. Some ignore the
// readiness, and half of all go to the overused instance.
func (s *site) pickInstance(rnd *rand.Rand) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.overused != nil && rnd.IntN(2) == 0:
		return s.overused
	case len(s.ready) == 0 || rnd.IntN(bypassRatio) == 0:
		return s.processes[rnd.IntN(len(s.processes))]
	}
	return s.ready[rnd.IntN(len(s.ready))]
}

// countRuns returns how often backend servers ran each request.
func (s *site) countRuns() map[string]int {
	runs := map[string]int{}
	for _, b := range append(s.newVersions, s.backends...) {
		for _, r := range b.Runs() {
			runs[r.ID]++
		}
	}
	return runs
}
