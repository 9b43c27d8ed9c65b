package pool

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/operator"
)

// The fixed seed makes the result depend only on the source code.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.steps", "150")
}

var testStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// atMillis returns the time ms milliseconds after the start of a test.
func atMillis(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

// testConfig returns a pool of engines of version v1 on route m, alternating between two data centres.
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

func newAsk(id string, tier int) Ask {
	return Ask{
		ID: id, EntryInstance: "i1", DataCentre: "d0", Team: "a", Tier: tier, Route: "m", PromptTokens: 100,
		Deadline: atMillis(3600e3),
	}
}

// submitAndCountPermits submits a request at the given time and returns the number of permits of the next decision.
func submitAndCountPermits(p *Pool, ms int) int {
	p.Ask(atMillis(ms), newAsk(fmt.Sprint("at", ms), 0))
	return len(p.Decide(atMillis(ms)).Permits)
}

// TestBaselineIgnoresOlderReports guards against a new home instance that uses a report from before its takeover, or
// that does not count the running requests shown by a later report.
func TestBaselineIgnoresOlderReports(t *testing.T) {
	p := New(testConfig(1, 4, 2, 100))
	p.AwaitFreshReports(atMillis(1000))
	assert.Equal(t, submitAndCountPermits(p, 1000), 0)
	assert.Equal(t, p.Dump().Teams[0].Reason, "no room on route m: backend servers [1 awaits a load report]")
	p.Report(atMillis(1100), Report{Server: "s0", Sequence: 1, Age: 200 * time.Millisecond, Version: "v1"})
	assert.Equal(t, submitAndCountPermits(p, 1200), 0, "the report was taken before the baseline")
	p.Report(atMillis(1300), Report{Server: "s0", Sequence: 2, Running: 1, Version: "v1"})
	assert.Equal(t, submitAndCountPermits(p, 1400), 1, "the cold limit is 2 and one request runs")
	p.Report(atMillis(9000), Report{Server: "s0", Sequence: 3, Running: 1, Version: "v1"})
	p.Report(atMillis(9500), Report{Server: "s0", Sequence: 4, Running: 1, Version: "v1"})
	assert.Equal(t, submitAndCountPermits(p, 9600), 1, "the running request is ours, the earlier one has ended")
}

// TestOrphanedRequestsStayCounted guards against requests of a dead instance that are no longer counted while they run,
// or that are counted for ever.
func TestOrphanedRequestsStayCounted(t *testing.T) {
	for _, kind := range []operator.PoolKind{operator.Engines, operator.Services} {
		cfg := testConfig(1, 1, 1, 100)
		cfg.Pool.Kind = kind
		p := New(cfg)
		a := newAsk("dead", 0)
		a.Deadline = atMillis(20000)
		p.Ask(atMillis(0), a)
		assert.Equal(t, len(p.Decide(atMillis(0)).Permits), 1)
		p.Orphan(atMillis(1500), "i1")
		assert.Equal(t, submitAndCountPermits(p, 10000), 0)
		if kind == operator.Engines {
			p.Report(atMillis(10100), Report{Server: "s0", Sequence: 1, Running: 1, Version: "v1"})
			p.Report(atMillis(11000), Report{Server: "s0", Sequence: 2, Running: 1, Version: "v1"})
			assert.Equal(t, len(p.Decide(atMillis(11000)).Permits), 0, "it still runs")
			p.Report(atMillis(12000), Report{Server: "s0", Sequence: 3, Version: "v1"})
			p.Report(atMillis(13000), Report{Server: "s0", Sequence: 4, Version: "v1"})
		}
		assert.Equal(t, len(p.Decide(atMillis(24000)).Permits), 1, "%s", kind)
	}
}

// TestProbeRequestSelection guards against probes with requests whose failure is expensive, and against servers that
// are never probed because there are no other requests.
func TestProbeRequestSelection(t *testing.T) {
	p := New(testConfig(2, 4, 4, 100))
	submitAndFinish := func(ms, tier int, result Result) string {
		a := newAsk(fmt.Sprint(ms), tier)
		a.NonIdempotent = tier == 0
		p.Ask(atMillis(ms), a)
		permits := p.Decide(atMillis(ms)).Permits
		p.Withdraw(atMillis(ms), a.ID)
		if len(permits) == 0 {
			return ""
		}
		p.Done(atMillis(ms), Outcome{AskID: a.ID, Result: result})
		return permits[0].Server
	}
	failing := ""
	for ms := 0; failing == ""; ms++ {
		server := submitAndFinish(ms, 0, Failed)
		if p.servers[server].capacity.InProbation() {
			failing = server
		}
	}
	for ms := 100; ms < 110; ms++ {
		assert.Assert(t, submitAndFinish(ms, 1, OK) != failing, "a probe is not due yet")
	}
	assert.Assert(t, submitAndFinish(1000, 0, OK) != failing)
	assert.Equal(t, submitAndFinish(1001, 1, OK), failing)
	for ms := range 10 {
		submitAndFinish(2000+ms, 1, Failed)
	}
	assert.Equal(t, submitAndFinish(2100, 0, OK), "", "both are in probation and probed later")
	p.Ask(atMillis(2100), newAsk("waits", 0))
	p.Decide(atMillis(2100))
	assert.Assert(t, p.NextDecision().After(atMillis(2100)) && p.NextDecision().Before(atMillis(4000)),
		"a probe must be waited for, without spinning")
	p.Withdraw(atMillis(2100), "waits")
	assert.Assert(t, submitAndFinish(4000, 0, OK) != "")
}

// TestEarlyRefusalOfUnreachableDeadlines guards against requests that wait until a deadline they cannot meet, and
// against early refusals while a server is idle.
func TestEarlyRefusalOfUnreachableDeadlines(t *testing.T) {
	p := New(testConfig(1, 4, 4, 1000))
	for i := range 100 {
		p.Ask(atMillis(i*500), newAsk(fmt.Sprint(i), 1))
		for _, permit := range p.Decide(atMillis(i * 500)).Permits {
			if i < 60 {
				p.Done(atMillis(i*500+400), Outcome{
					AskID: permit.AskID, Result: OK, PromptTokens: 100, OutputTokens: 50, InterToken: time.Second,
				})
			}
		}
	}
	late := func(id string, tier int) Ask {
		a := newAsk(id, tier)
		a.Deadline = atMillis(51000)
		return a
	}
	p.Ask(atMillis(50000), late("hopeless", 1))
	p.Ask(atMillis(50000), late("higher", 0))
	d := p.Decide(atMillis(50000))
	assert.Equal(t, len(d.Refusals), 1)
	assert.Equal(t, d.Refusals[0].AskID, "hopeless")
	assert.Equal(t, d.Refusals[0].Reason, DeadlineUnmeetable)
	assert.Assert(t, d.Refusals[0].RetryAfter >= time.Second)
	idle := New(testConfig(1, 4, 4, 1000))
	idle.Ask(atMillis(50999), late("idle", 1))
	assert.Equal(t, len(idle.Decide(atMillis(50999)).Permits), 1)
}

// TestUnservableRequestsAreRefused guards against requests that wait although no server can serve them.
func TestUnservableRequestsAreRefused(t *testing.T) {
	tests := []struct {
		name string
		set  func(p *Pool, cfg Config, a *Ask)
		want Reason
	}{
		{"unknown route", func(_ *Pool, _ Config, a *Ask) { a.Route = "x" }, UnknownRoute},
		{"retry without budget", func(_ *Pool, _ Config, a *Ask) { a.Attempt = 1 }, RetryBudgetExhausted},
		{"rolled back", func(p *Pool, _ Config, _ *Ask) { p.BlockVersion("v1", "") }, NoBackendServer},
		{"deadline has passed", func(_ *Pool, _ Config, a *Ask) { a.Deadline = atMillis(-1) }, DeadlineUnmeetable},
		{"all leaving", func(p *Pool, cfg Config, _ *Ask) {
			cfg.Servers = []operator.BackendServer{cfg.Servers[0].WithLeaving(true)}
			p.Configure(atMillis(0), cfg)
		}, NoBackendServer},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cfg := testConfig(1, 4, 1, 100)
			p, a := New(cfg), newAsk("x", 0)
			test.set(p, cfg, &a)
			p.Ask(atMillis(0), a)
			d := p.Decide(atMillis(0))
			assert.DeepEqual(t, d.Refusals, []Refusal{{AskID: "x", Reason: test.want}})
		})
	}
}
