package pool

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/operator"
)

// TestMain fixes the seed of the state-machine tests, so that a verdict depends only on the tree.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
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

// warm raises a server to its full limit by evidence.
func warm(p *Pool, server string, n int) {
	p.Report(at(0), Report{Server: server, Sequence: 1, Version: "v1"})
	for i := range n {
		p.Ask(at(i+1), ask(fmt.Sprint("warm", server, i), 0))
		for _, permit := range p.Decide(at(i + 1)).Permits {
			p.Done(at(i+1), Outcome{Ask: permit.Ask, Result: OK, Prompt: 100, Output: 10})
		}
	}
}

// TestColdStart guards against a cold server that gets more than its cold limit, and a warm one that is never filled.
func TestColdStart(t *testing.T) {
	p := New(testConfig(1, 8, 2, 100))
	for i := range 20 {
		p.Ask(at(0), ask(fmt.Sprint(i), 0))
	}
	assert.Equal(t, len(p.Decide(at(0)).Permits), 2)
	p.Report(at(100), Report{Server: "s0", Sequence: 5, Running: 2, Version: "v1"})
	p.Done(at(200), Outcome{Ask: "0", Result: OK, Prompt: 100, Output: 10})
	assert.Equal(t, len(p.Decide(at(200)).Permits), 1, "an answer to a request from the cold start is no evidence")
	p.Done(at(300), Outcome{Ask: "1", Result: OK})
	p.Done(at(300), Outcome{Ask: "2", Result: OK})
	assert.Equal(t, len(p.Decide(at(300)).Permits), 3)
}
