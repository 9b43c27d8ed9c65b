package tenure

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20231204", "rapid.checks": "400", "rapid.steps": "50", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// maxRecovery bounds the time without a home after the last fault ends: the absence after which an instance counts as
// ended, the lag of the list, every takeover stagger, a consent to an earlier home, the wait of a new home, and two
// call timeouts.
const maxRecovery = 3*time.Second + listLag + instanceCount*2*time.Second + 2200*time.Millisecond + 2970*time.Millisecond + 2*callTimeout

// TestRightsNeverOverlapUnderFaults guards against two instances that may start requests on the same servers beyond
// their limits, and against a pool that stays without a home after the faults have ended.
func TestRightsNeverOverlapUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		run := func(d time.Duration) {
			for end := sim.now + d; sim.now < end; {
				sim.advance()
				if sum := sim.sumOfShares(); sum > 1.0001 {
					t.Fatalf("rights sum to %.2f at %v, record %+v", sum, sim.now, sim.rec)
				}
			}
		}
		run(10 * time.Second)
		fault := func(t *rapid.T) (*node, time.Duration) {
			n := sim.nodes[rapid.IntRange(0, instanceCount-1).Draw(t, "slot")]
			if home := sim.recordedHome(); home != nil && rapid.Bool().Draw(t, "at home") {
				n = home
			}
			return n, sim.now + time.Duration(rapid.IntRange(1, 200).Draw(t, "for"))*100*time.Millisecond
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":     func(t *rapid.T) { run(time.Duration(rapid.IntRange(1, 40).Draw(t, "for")) * 100 * time.Millisecond) },
			"pause":   func(t *rapid.T) { n, end := fault(t); n.pausedUntil = end },
			"isolate": func(t *rapid.T) { n, end := fault(t); n.isolate(end) },
			"cut": func(t *rapid.T) {
				n, end := fault(t)
				n.cutUntil[rapid.IntRange(0, instanceCount-1).Draw(t, "peer")] = end
			},
			"cut store": func(t *rapid.T) { n, end := fault(t); n.storeCutUntil = end },
			"stop":      func(t *rapid.T) { n, _ := fault(t); n.stop() },
			"restart":   func(t *rapid.T) { n, _ := fault(t); sim.start(n.slot) },
			"down":      func(t *rapid.T) { sim.storeDown = rapid.Bool().Draw(t, "down") },
			"slow":      func(t *rapid.T) { sim.storeSlowCalls = rapid.Bool().Draw(t, "slow") },
			"lose":      func(t *rapid.T) { sim.loseAnswer = rapid.Bool().Draw(t, "lose") },
		})
		sim.clearFaults()
		for end := sim.now + maxRecovery; !sim.hasHome(); {
			run(tick)
			if sim.now > end {
				t.Fatalf("no home %v after the last fault, record %+v", maxRecovery, sim.rec)
			}
		}
	})
}

// newSteadySimulation returns a simulation that has run for 10 s without faults, and its home.
func newSteadySimulation(seed uint64) (*simulation, *node) {
	sim := newSimulation(seed)
	for range 500 {
		sim.advance()
	}
	return sim, sim.recordedHome()
}

// recordedHome returns the node that the record names as home, or nil.
func (sim *simulation) recordedHome() *node {
	for _, n := range sim.nodes {
		if n.cfg.Self.ID == sim.rec.Home {
			return n
		}
	}
	return nil
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.advance()
	}
}

// TestRightUnderSingleFault injects faults into a steady state with one home. Each case guards against the failure in
// its name.
func TestRightUnderSingleFault(t *testing.T) {
	is := func(m Mode) func(*simulation, *node) bool {
		return func(_ *simulation, home *node) bool { return home.Mode(home.clock()) == m }
	}
	next := func(sim *simulation, home *node) *node { return sim.nodes[(home.slot+1)%instanceCount] }
	cases := []struct {
		name  string
		fault func(sim *simulation, home *node)
		after time.Duration
		holds func(sim *simulation, home *node) bool
	}{
		{"right kept through a pause", func(sim *simulation, home *node) { home.pausedUntil = sim.now + 2500*time.Millisecond }, 2480 * time.Millisecond, is(Lapsed)},
		{
			"old home grants after a takeover", func(sim *simulation, home *node) { home.pausedUntil = sim.now + 10*time.Second }, 11 * time.Second,
			func(sim *simulation, home *node) bool {
				return sim.recordedHome() != home && !home.MayGrant(home.clock()) && sim.hasHome()
			},
		},
		{"store outage ends the right", func(sim *simulation, _ *node) { sim.storeDown = true }, 10 * time.Minute, is(Consent)},
		{
			"slow store ends the right", func(sim *simulation, _ *node) { sim.storeSlowCalls = true }, 30 * time.Second,
			func(_ *simulation, home *node) bool { return home.MayGrant(home.clock()) },
		},
		{"home without access to the store is replaced", func(sim *simulation, home *node) { home.storeCutUntil = sim.now + time.Hour }, time.Minute, is(Consent)},
		{"candidate that ends in an outage stops the pool permanently", func(sim *simulation, home *node) {
			sim.storeDown = true
			sim.start(next(sim, home).slot)
		}, 20 * time.Second, is(Consent)},
		{"no service when the home dies in an outage, or none after it", func(sim *simulation, home *node) {
			sim.storeDown = true
			sim.run(3 * time.Second)
			sim.start(home.slot)
		}, 20 * time.Second, func(sim *simulation, _ *node) bool {
			sharers := 0
			for _, n := range sim.nodes {
				if n.Mode(n.clock()) == Static && n.ShareDivisor(n.clock()) == instanceCount {
					sharers++
				}
			}
			sim.storeDown = false
			sim.run(maxRecovery)
			return sharers == instanceCount-1 && sim.hasHome()
		}},
		{"static share while the home is alive", func(sim *simulation, home *node) {
			next(sim, home).isolate(sim.now + time.Hour)
			next(sim, home).storeCutUntil = sim.now + time.Hour
		}, time.Minute, func(sim *simulation, home *node) bool {
			n := next(sim, home)
			return n.Mode(n.clock()) == Follower && home.Mode(home.clock()) == Home
		}},
		{"second pause soon after the first", func(sim *simulation, home *node) {
			home.pausedUntil = sim.now + 6*time.Second
			sim.run(7 * time.Second)
			sim.recordedHome().pausedUntil = sim.now + 6*time.Second
		}, maxRecovery, func(sim *simulation, _ *node) bool { return sim.hasHome() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim, home := newSteadySimulation(7)
			c.fault(sim, home)
			sim.run(c.after)
			assert.Assert(t, c.holds(sim, home))
			assert.Assert(t, sim.sumOfShares() <= 1.0001)
		})
	}
}

// TestReleaseNeedsNoTakeoverWait guards against a planned stop that leaves the pool without a home for as long as a
// takeover after a crash.
func TestReleaseNeedsNoTakeoverWait(t *testing.T) {
	sim, home := newSteadySimulation(7)
	home.stop()
	assert.Assert(t, !home.MayGrant(home.clock()))
	_, _, ok := home.Release(home.clock())
	assert.Assert(t, !ok, "a permit can still be started")
	sim.run(time.Second)
	for _, n := range sim.nodes {
		n.ObserveEpoch(n.clock(), sim.rec.Epoch)
	}
	sim.run(time.Second)
	assert.Assert(t, sim.recordedHome() != home && sim.hasHome())
}
