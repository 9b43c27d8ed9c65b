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

// Bound of the time without a home after all faults: absence from the list, its lag, every stagger, a promise, the wait
// of a new home and two timeouts.
const recovery = 3*time.Second + listLag + clusters*2*time.Second + 2200*time.Millisecond + 2970*time.Millisecond + 2*timeout

// Guards against two instances that may start requests on the same servers beyond their limits, and against a pool that
// stays without a home after the faults ended.
func TestRightsNeverOverlapUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		run := func(d time.Duration) {
			for end := w.now + d; w.now < end; {
				w.advance()
				if sum := w.rights(); sum > 1.0001 {
					t.Fatalf("rights sum to %.2f at %v, record %+v", sum, w.now, w.rec)
				}
			}
		}
		run(10 * time.Second)
		fault := func(t *rapid.T) (*node, time.Duration) {
			n := w.nodes[rapid.IntRange(0, clusters-1).Draw(t, "slot")]
			if home := w.current(); home != nil && rapid.Bool().Draw(t, "at home") {
				n = home
			}
			return n, w.now + time.Duration(rapid.IntRange(1, 200).Draw(t, "for"))*100*time.Millisecond
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":       func(t *rapid.T) { run(time.Duration(rapid.IntRange(1, 40).Draw(t, "for")) * 100 * time.Millisecond) },
			"pause":     func(t *rapid.T) { n, end := fault(t); n.pausedTill = end },
			"isolate":   func(t *rapid.T) { n, end := fault(t); n.isolate(end) },
			"cut":       func(t *rapid.T) { n, end := fault(t); n.cutTill[rapid.IntRange(0, clusters-1).Draw(t, "peer")] = end },
			"cut store": func(t *rapid.T) { n, end := fault(t); n.noStoreTill = end },
			"stop":      func(t *rapid.T) { n, _ := fault(t); n.stop() },
			"restart":   func(t *rapid.T) { n, _ := fault(t); w.start(n.slot) },
			"down":      func(t *rapid.T) { w.down = rapid.Bool().Draw(t, "down") },
			"slow":      func(t *rapid.T) { w.slow = rapid.Bool().Draw(t, "slow") },
			"lose":      func(t *rapid.T) { w.loseAnswer = rapid.Bool().Draw(t, "lose") },
		})
		w.heal()
		for end := w.now + recovery; !w.home(); {
			run(tick)
			if w.now > end {
				t.Fatalf("no home %v after the last fault, record %+v", recovery, w.rec)
			}
		}
	})
}

func steady(seed uint64) (*world, *node) {
	w := newWorld(seed)
	for range 500 {
		w.advance()
	}
	return w, w.current()
}

// current returns the node that the record names.
func (w *world) current() *node {
	for _, n := range w.nodes {
		if n.cfg.Self.ID == w.rec.Home {
			return n
		}
	}
	return nil
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.advance()
	}
}

// Each case guards against the failure that it is named after, on top of a steady state with one home.
func TestFailures(t *testing.T) {
	is := func(m Mode) func(*world, *node) bool {
		return func(_ *world, home *node) bool { return home.Mode(home.clock()) == m }
	}
	next := func(w *world, home *node) *node { return w.nodes[(home.slot+1)%clusters] }
	cases := []struct {
		name  string
		fault func(w *world, home *node)
		after time.Duration
		holds func(w *world, home *node) bool
	}{
		{"right kept through a pause", func(w *world, home *node) { home.pausedTill = w.now + 2500*time.Millisecond }, 2480 * time.Millisecond, is(Lapsed)},
		{
			"old home grants after a takeover", func(w *world, home *node) { home.pausedTill = w.now + 10*time.Second }, 11 * time.Second,
			func(w *world, home *node) bool {
				return w.current() != home && !home.MayGrant(home.clock()) && w.home()
			},
		},
		{"store outage ends the right", func(w *world, _ *node) { w.down = true }, 10 * time.Minute, is(Consent)},
		{
			"slow store ends the right", func(w *world, _ *node) { w.slow = true }, 30 * time.Second,
			func(_ *world, home *node) bool { return home.MayGrant(home.clock()) },
		},
		{"home cut from the store is deposed", func(w *world, home *node) { home.noStoreTill = w.now + time.Hour }, time.Minute, is(Consent)},
		{"candidate that ends in an outage stops the pool for good", func(w *world, home *node) {
			w.down = true
			w.start(next(w, home).slot)
		}, 20 * time.Second, is(Consent)},
		{"no service when the home dies in an outage, or none after it", func(w *world, home *node) {
			w.down = true
			w.run(3 * time.Second)
			w.start(home.slot)
		}, 20 * time.Second, func(w *world, _ *node) bool {
			sharers := 0
			for _, n := range w.nodes {
				if n.Mode(n.clock()) == Static && n.Share(n.clock()) == clusters {
					sharers++
				}
			}
			w.down = false
			w.run(recovery)
			return sharers == clusters-1 && w.home()
		}},
		{"static share beside a living home", func(w *world, home *node) {
			next(w, home).isolate(w.now + time.Hour)
			next(w, home).noStoreTill = w.now + time.Hour
		}, time.Minute, func(w *world, home *node) bool {
			n := next(w, home)
			return n.Mode(n.clock()) == Follower && home.Mode(home.clock()) == Home
		}},
		{"second pause soon after the first", func(w *world, home *node) {
			home.pausedTill = w.now + 6*time.Second
			w.run(7 * time.Second)
			w.current().pausedTill = w.now + 6*time.Second
		}, recovery, func(w *world, _ *node) bool { return w.home() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, home := steady(7)
			c.fault(w, home)
			w.run(c.after)
			assert.Assert(t, c.holds(w, home))
			assert.Assert(t, w.rights() <= 1.0001)
		})
	}
}

// Guards against a planned stop that leaves the pool without a home for the time of a takeover after a death.
func TestReleaseNeedsNoWait(t *testing.T) {
	w, home := steady(7)
	home.stop()
	assert.Assert(t, !home.MayGrant(home.clock()))
	_, _, ok := home.Release(home.clock())
	assert.Assert(t, !ok, "a permit can still be started")
	w.run(time.Second)
	for _, n := range w.nodes {
		n.SeenEpoch(n.clock(), w.rec.Epoch)
	}
	w.run(time.Second)
	assert.Assert(t, w.current() != home && w.home())
}
