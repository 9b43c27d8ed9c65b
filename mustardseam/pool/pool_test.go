package pool

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/operator"
)

// The seed is fixed, so that a verdict depends only on the tree.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.steps", "150")
}

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// at returns a time in milliseconds after the start of a test.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// testConfig returns a pool of engines of version v1 on route m, in turn in two data centres.
func testConfig(servers, limit, cold, waiting int) Config {
	cfg := Config{
		Pool:        operator.Pool{Name: "p", Kind: operator.Engines, MaxWaiting: waiting},
		Tiers:       []operator.Tier{{Name: "counter"}, {Name: "desk", Rank: 1}, {Name: "batch", Rank: 2}},
		DataCentres: []operator.DataCentre{{Name: "d0", Region: "r"}, {Name: "d1", Region: "r"}},
		Routes:      []operator.Route{{Name: "m", Pool: "p", Version: "v1"}},
		Teams:       []operator.Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}},
	}
	for i := range servers {
		cfg.Servers = append(cfg.Servers, operator.BackendServer{
			Name: fmt.Sprintf("s%d", i), DataCentre: fmt.Sprintf("d%d", i%2), Version: "v1", Limit: limit, ColdLimit: cold,
		})
	}
	return cfg
}

func ask(id string, tier int) Ask {
	return Ask{ID: id, From: "i1", DataCentre: "d0", Team: "a", Tier: tier, Route: "m", Prompt: 100, Deadline: at(3600e3)}
}

// grants asks for a request at the time and returns the number of permits.
func grants(p *Pool, ms int) int {
	p.Ask(at(ms), ask(fmt.Sprint("at", ms), 0))
	return len(p.Decide(at(ms)).Permits)
}

// TestBaseline guards against a new home that trusts a report from before its takeover, or forgets what it shows.
func TestBaseline(t *testing.T) {
	p := New(testConfig(1, 4, 2, 100))
	p.Baseline(at(1000))
	assert.Equal(t, grants(p, 1000), 0)
	assert.Equal(t, p.Dump().Teams[0].Reason, "no room on route m: backend servers [1 awaits a load report]")
	p.Report(at(1100), Report{Server: "s0", Sequence: 1, Age: 200 * time.Millisecond, Version: "v1"})
	assert.Equal(t, grants(p, 1200), 0, "the report was taken before the baseline")
	p.Report(at(1300), Report{Server: "s0", Sequence: 2, Running: 1, Version: "v1"})
	assert.Equal(t, grants(p, 1400), 1, "the cold limit is 2 and one request runs")
	p.Report(at(9000), Report{Server: "s0", Sequence: 3, Running: 1, Version: "v1"})
	p.Report(at(9500), Report{Server: "s0", Sequence: 4, Running: 1, Version: "v1"})
	assert.Equal(t, grants(p, 9600), 1, "the request from before the takeover has ended")
}

// TestOrphan guards against requests of a dead instance that are forgotten while they run, or counted for ever.
func TestOrphan(t *testing.T) {
	for _, kind := range []operator.PoolKind{operator.Engines, operator.Services} {
		cfg := testConfig(1, 1, 1, 100)
		cfg.Pool.Kind = kind
		p := New(cfg)
		a := ask("dead", 0)
		a.Deadline = at(20000)
		p.Ask(at(0), a)
		assert.Equal(t, len(p.Decide(at(0)).Permits), 1)
		p.Orphan(at(1500), "i1")
		assert.Equal(t, grants(p, 10000), 0)
		if kind == operator.Engines {
			p.Report(at(10100), Report{Server: "s0", Sequence: 1, Running: 1, Version: "v1"})
			p.Report(at(11000), Report{Server: "s0", Sequence: 2, Running: 1, Version: "v1"})
			assert.Equal(t, len(p.Decide(at(11000)).Permits), 0, "it still runs")
			p.Report(at(12000), Report{Server: "s0", Sequence: 3, Version: "v1"})
			p.Report(at(13000), Report{Server: "s0", Sequence: 4, Version: "v1"})
		}
		assert.Equal(t, len(p.Decide(at(24000)).Permits), 1, "%s", kind)
	}
}

// TestProbes guards against servers in probation that get probes at the cost of requests that are worth more, or none
// for ever because there are no others.
func TestProbes(t *testing.T) {
	p := New(testConfig(2, 4, 4, 100))
	step := func(ms, tier int, result Result) string {
		a := ask(fmt.Sprint(ms), tier)
		a.NonIdempotent = tier == 0
		p.Ask(at(ms), a)
		permits := p.Decide(at(ms)).Permits
		p.Withdraw(at(ms), a.ID)
		if len(permits) == 0 {
			return ""
		}
		p.Done(at(ms), Outcome{Ask: a.ID, Result: result})
		return permits[0].Server
	}
	bad := ""
	for ms := 0; bad == ""; ms++ {
		server := step(ms, 0, Failed)
		if p.servers[server].cap.Probation() {
			bad = server
		}
	}
	for ms := 100; ms < 110; ms++ {
		assert.Assert(t, step(ms, 1, OK) != bad, "a probe is not due yet")
	}
	assert.Assert(t, step(1000, 0, OK) != bad)
	assert.Equal(t, step(1001, 1, OK), bad)
	for ms := range 10 {
		step(2000+ms, 1, Failed)
	}
	assert.Equal(t, step(2100, 0, OK), "", "both are in probation and probed later")
	p.Ask(at(2100), ask("waits", 0))
	p.Decide(at(2100))
	assert.Assert(t, p.Next().After(at(2100)) && p.Next().Before(at(4000)), "a probe must be waited for, without spinning")
	p.Withdraw(at(2100), "waits")
	assert.Assert(t, step(4000, 0, OK) != "")
}

// TestEarlyRefusal guards against hopeless requests that wait for their deadline, and against refusals on a guess
// while a server is idle.
func TestEarlyRefusal(t *testing.T) {
	p := New(testConfig(1, 4, 4, 1000))
	for i := range 100 {
		p.Ask(at(i*500), ask(fmt.Sprint(i), 1))
		for _, permit := range p.Decide(at(i * 500)).Permits {
			if i < 60 {
				p.Done(at(i*500+400), Outcome{Ask: permit.Ask, Result: OK, Prompt: 100, Output: 50, Between: time.Second})
			}
		}
	}
	late := func(id string, tier int) Ask {
		a := ask(id, tier)
		a.Deadline = at(51000)
		return a
	}
	p.Ask(at(50000), late("hopeless", 1))
	p.Ask(at(50000), late("higher", 0))
	d := p.Decide(at(50000))
	assert.Equal(t, len(d.Refusals), 1)
	assert.Equal(t, d.Refusals[0].Ask, "hopeless")
	assert.Equal(t, d.Refusals[0].Reason, TooLate)
	assert.Assert(t, d.Refusals[0].RetryAfter >= time.Second)
	idle := New(testConfig(1, 4, 4, 1000))
	idle.Ask(at(50999), late("idle", 1))
	assert.Equal(t, len(idle.Decide(at(50999)).Permits), 1)
}

// TestRefusals guards against requests that wait although nothing can serve them.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name string
		set  func(p *Pool, cfg Config, a *Ask)
		want Reason
	}{
		{"unknown route", func(_ *Pool, _ Config, a *Ask) { a.Route = "x" }, UnknownRoute},
		{"retry without budget", func(_ *Pool, _ Config, a *Ask) { a.Attempt = 1 }, NoRetries},
		{"rolled back", func(p *Pool, _ Config, _ *Ask) { p.BlockVersion("v1", "") }, NoServer},
		{"deadline has passed", func(_ *Pool, _ Config, a *Ask) { a.Deadline = at(-1) }, TooLate},
		{"all leaving", func(p *Pool, cfg Config, _ *Ask) {
			cfg.Servers = []operator.BackendServer{cfg.Servers[0].WithLeaving(true)}
			p.Configure(at(0), cfg)
		}, NoServer},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cfg := testConfig(1, 4, 1, 100)
			p, a := New(cfg), ask("x", 0)
			test.set(p, cfg, &a)
			p.Ask(at(0), a)
			d := p.Decide(at(0))
			assert.DeepEqual(t, d.Refusals, []Refusal{{Ask: "x", Reason: test.want}})
		})
	}
}
