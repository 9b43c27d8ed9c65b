package drive

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/measure/load"
	"github.com/mustardseam/mustardseam/measure/site"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// script is a scheduler that does what a test says.
type script struct {
	asks   []pool.Ask
	decide func(asks []pool.Ask) (pool.Decisions, []pool.Ask)
}

func (s *script) Configure(time.Time, pool.Config)                {}
func (s *script) Ask(_ time.Time, a pool.Ask)                     { s.asks = append(s.asks, a) }
func (s *script) Withdraw(time.Time, string) bool                 { return true }
func (s *script) Done(time.Time, pool.Outcome)                    {}
func (s *script) Report(time.Time, pool.Report)                   {}
func (s *script) ObserveCacheEvents(time.Time, []pool.CacheEvent) {}
func (s *script) Decide(time.Time) (d pool.Decisions)             { d, s.asks = s.decide(s.asks); return d }

// request returns a short request that arrives in the given second.
func request(second, tier int) load.Request {
	return load.Request{
		ID: fmt.Sprintf("t%d-%d", tier, second), At: time.Duration(second) * time.Second, Tier: tier, Team: "fitting",
		Route: "fit-model", Prompt: 10, Output: 10, Timeout: 20 * time.Second,
	}
}

// play runs the requests under the script.
func play(decide func([]pool.Ask) (pool.Decisions, []pool.Ask), prepare func(*World), reqs ...load.Request) *World {
	w := New(Config{Site: site.Qasr(), Arrivals: reqs, Make: func(pool.Config) Scheduler { return &script{decide: decide} }})
	if prepare != nil {
		prepare(w)
	}
	w.Run(time.Minute)
	return w
}

// grantAll grants every ask to one server.
func grantAll(server string) func([]pool.Ask) (pool.Decisions, []pool.Ask) {
	return func(asks []pool.Ask) (d pool.Decisions, rest []pool.Ask) {
		for _, a := range asks {
			d.Permits = append(d.Permits, pool.Permit{Ask: a.ID, Server: server})
		}
		return d, nil
	}
}

// on returns a script that waits for n asks and then decides.
func on(n int, decide func([]pool.Ask) pool.Decisions) func([]pool.Ask) (pool.Decisions, []pool.Ask) {
	return func(asks []pool.Ask) (pool.Decisions, []pool.Ask) {
		if len(asks) < n {
			return pool.Decisions{}, asks
		}
		return decide(asks), nil
	}
}

func refusal(a pool.Ask, r pool.Reason) []pool.Refusal { return []pool.Refusal{{Ask: a.ID, Reason: r}} }

// TestInversions guards against inversions that the driver does not see, and against sheds that it takes for one.
func TestInversions(t *testing.T) {
	permit := func(a pool.Ask) []pool.Permit { return []pool.Permit{{Ask: a.ID, Server: "m1"}} }
	hopeless := request(1, 0)
	hopeless.Timeout = 10 * time.Millisecond
	tests := []struct {
		name               string
		reqs               []load.Request
		decide             func([]pool.Ask) pool.Decisions
		queue, pass, waits int
	}{
		{"shed while a lower tier waits", []load.Request{request(1, 0), request(2, 1)}, func(a []pool.Ask) pool.Decisions {
			return pool.Decisions{Refusals: refusal(a[0], pool.QueueFull)}
		}, 1, 0, 0},
		{"given up while a lower tier waits", []load.Request{request(1, 0), request(2, 1)}, func(a []pool.Ask) pool.Decisions {
			return pool.Decisions{Refusals: refusal(a[0], pool.DeadlineUnreachable)}
		}, 0, 0, 1},
		{"passed over", []load.Request{request(1, 0), request(2, 1)}, func(a []pool.Ask) pool.Decisions {
			return pool.Decisions{Permits: permit(a[1]), Refusals: refusal(a[0], pool.DeadlineUnreachable)}
		}, 0, 1, 0},
		{"lower tier shed", []load.Request{request(1, 0), request(2, 1)}, func(a []pool.Ask) pool.Decisions {
			return pool.Decisions{Permits: permit(a[0]), Refusals: refusal(a[1], pool.QueueFull)}
		}, 0, 0, 0},
		{"hopeless", []load.Request{hopeless, request(1, 1)}, func(a []pool.Ask) pool.Decisions {
			return pool.Decisions{Permits: permit(a[1])}
		}, 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := play(on(len(test.reqs), test.decide), nil, test.reqs...).Tally
			assert.Equal(t, got.QueueInversions, test.queue)
			assert.Equal(t, got.PassInversions, test.pass)
			assert.Equal(t, got.WaitInversions, test.waits)
		})
	}
}

// TestAnswer guards against a request whose answer is lost, counted twice or cut off on the sound path.
func TestAnswer(t *testing.T) {
	w := play(grantAll("m1"), nil, request(1, 0))
	r := w.Records[0]
	assert.Assert(t, r.InTime())
	assert.Equal(t, r.Answers, 1)
	assert.Equal(t, r.Runs, 1)
	assert.Equal(t, r.Tokens, 10)
	assert.Equal(t, w.Tally, Tally{Useful: 10})
}

// TestOverCold guards against load beyond the cold limit that goes unnoticed.
func TestOverCold(t *testing.T) {
	w := play(grantAll("m1"), func(w *World) { w.Engines["m1"].Chill() }, request(1, 0), request(1, 1), request(1, 2))
	assert.Equal(t, w.Tally.OverCold, 1)
	assert.Equal(t, w.Records[0].State, Failed)
}

// TestRefusedConnection guards against a retry that does not name the server to avoid, or that counts as a run.
func TestRefusedConnection(t *testing.T) {
	var attempts []pool.Ask
	w := play(func(asks []pool.Ask) (d pool.Decisions, rest []pool.Ask) {
		attempts = append(attempts, asks...)
		for _, a := range asks {
			d.Permits = append(d.Permits, pool.Permit{Ask: a.ID, Server: []string{"m1", "m2"}[a.Attempt]})
		}
		return d, nil
	}, func(w *World) { w.Engines["m1"].SetFaults(engine.Faults{Refuse: true}) }, request(1, 0))
	assert.Equal(t, len(attempts), 2)
	assert.DeepEqual(t, attempts[1].Avoid, []string{"m1"})
	assert.Equal(t, w.Records[0].Runs, 1)
	assert.Equal(t, w.Records[0].Asks, 2)
}

// TestHomeLoss guards against waiting requests that do not reach the new home, and grants before the wait is over.
func TestHomeLoss(t *testing.T) {
	homes := 0
	req := request(1, 0)
	req.Entry = 1
	w := New(Config{Site: site.Qasr(), Arrivals: []load.Request{req}, Make: func(pool.Config) Scheduler {
		homes++
		if homes > 2 {
			return &script{decide: grantAll("m1")}
		}
		return &script{decide: func(a []pool.Ask) (pool.Decisions, []pool.Ask) { return pool.Decisions{}, a }}
	}})
	w.Clock.At(2*time.Second, func() { w.KillHome(site.Models, 0) })
	w.Run(time.Minute)
	assert.Assert(t, w.Records[0].InTime())
	assert.Assert(t, w.Records[0].Granted.Sub(w.Records[0].Arrived) > time.Second+suspicion+takeoverWait)
}
