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

// scriptedScheduler is a scheduler whose decisions are made by a function of the test.
type scriptedScheduler struct {
	asks   []pool.Ask
	decide func(asks []pool.Ask) (pool.Decisions, []pool.Ask)
}

func (s *scriptedScheduler) Configure(time.Time, pool.Config)                {}
func (s *scriptedScheduler) Ask(_ time.Time, a pool.Ask)                     { s.asks = append(s.asks, a) }
func (s *scriptedScheduler) Withdraw(time.Time, string) bool                 { return true }
func (s *scriptedScheduler) Done(time.Time, pool.Outcome)                    {}
func (s *scriptedScheduler) Report(time.Time, pool.Report)                   {}
func (s *scriptedScheduler) ObserveCacheEvents(time.Time, []pool.CacheEvent) {}
func (s *scriptedScheduler) Decide(time.Time) (d pool.Decisions) {
	d, s.asks = s.decide(s.asks)
	return d
}

// newRequest returns a short request of the tier that arrives at the given second.
func newRequest(second, tier int) load.Request {
	return load.Request{
		ID: fmt.Sprintf("t%d-%d", tier, second), At: time.Duration(second) * time.Second, Tier: tier, Team: "fitting",
		Route: "fit-model", Prompt: 10, Output: 10, Timeout: 20 * time.Second,
	}
}

// runScript simulates the requests with a scripted scheduler for one minute.
func runScript(decide func([]pool.Ask) (pool.Decisions, []pool.Ask), prepare func(*Simulation), reqs ...load.Request) *Simulation {
	w := New(Config{Site: site.Qasr(), Arrivals: reqs, NewScheduler: func(pool.Config) Scheduler { return &scriptedScheduler{decide: decide} }})
	if prepare != nil {
		prepare(w)
	}
	w.Run(time.Minute)
	return w
}

// grantAll returns a script that grants every ask on one server.
func grantAll(server string) func([]pool.Ask) (pool.Decisions, []pool.Ask) {
	return func(asks []pool.Ask) (d pool.Decisions, rest []pool.Ask) {
		for _, a := range asks {
			d.Permits = append(d.Permits, pool.Permit{AskID: a.ID, Server: server})
		}
		return d, nil
	}
}

// whenWaiting returns a script that calls decide once n asks are waiting.
func whenWaiting(n int, decide func([]pool.Ask) pool.Decisions) func([]pool.Ask) (pool.Decisions, []pool.Ask) {
	return func(asks []pool.Ask) (pool.Decisions, []pool.Ask) {
		if len(asks) < n {
			return pool.Decisions{}, asks
		}
		return decide(asks), nil
	}
}

func refuse(a pool.Ask, r pool.Reason) []pool.Refusal {
	return []pool.Refusal{{AskID: a.ID, Reason: r}}
}

// TestInversionsAreCounted guards against inversions that are not counted and against other sheds counted as
// inversions.
func TestInversionsAreCounted(t *testing.T) {
	permit := func(a pool.Ask) []pool.Permit { return []pool.Permit{{AskID: a.ID, Server: "m1"}} }
	unreachable := newRequest(1, 0)
	unreachable.Timeout = 10 * time.Millisecond
	tests := []struct {
		name               string
		reqs               []load.Request
		decide             func([]pool.Ask) pool.Decisions
		queue, pass, waits int
	}{
		{"shed while a lower tier waits", []load.Request{newRequest(1, 0), newRequest(2, 1)}, func(a []pool.Ask) pool.Decisions {
			return pool.Decisions{Refusals: refuse(a[0], pool.QueueFull)}
		}, 1, 0, 0},
		{"given up while a lower tier waits", []load.Request{newRequest(1, 0), newRequest(2, 1)}, func(a []pool.Ask) pool.Decisions {
			return pool.Decisions{Refusals: refuse(a[0], pool.DeadlineUnmeetable)}
		}, 0, 0, 1},
		{"passed over", []load.Request{newRequest(1, 0), newRequest(2, 1)}, func(a []pool.Ask) pool.Decisions {
			return pool.Decisions{Permits: permit(a[1]), Refusals: refuse(a[0], pool.DeadlineUnmeetable)}
		}, 0, 1, 0},
		{"lower tier shed", []load.Request{newRequest(1, 0), newRequest(2, 1)}, func(a []pool.Ask) pool.Decisions {
			return pool.Decisions{Permits: permit(a[0]), Refusals: refuse(a[1], pool.QueueFull)}
		}, 0, 0, 0},
		{"hopeless", []load.Request{unreachable, newRequest(1, 1)}, func(a []pool.Ask) pool.Decisions {
			return pool.Decisions{Permits: permit(a[1])}
		}, 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := runScript(whenWaiting(len(test.reqs), test.decide), nil, test.reqs...).Counters
			assert.Equal(t, got.QueueFullInversions, test.queue)
			assert.Equal(t, got.PassedOverInversions, test.pass)
			assert.Equal(t, got.DeadlineInversions, test.waits)
		})
	}
}

// TestAnswerIsCountedOnce guards against answers that are lost, counted twice or truncated when no fault occurs.
func TestAnswerIsCountedOnce(t *testing.T) {
	w := runScript(grantAll("m1"), nil, newRequest(1, 0))
	r := w.Records[0]
	assert.Assert(t, r.InTime())
	assert.Equal(t, r.FinalAnswers, 1)
	assert.Equal(t, r.Admissions, 1)
	assert.Equal(t, r.AnswerTokens, 10)
	assert.Equal(t, w.Counters, Counters{UsefulPromptTokens: 10})
}

// TestLoadBeyondColdLimitIsCounted guards against load beyond the cold limit that is not counted.
func TestLoadBeyondColdLimitIsCounted(t *testing.T) {
	w := runScript(grantAll("m1"), func(w *Simulation) { w.Engines["m1"].BecomeCold() }, newRequest(1, 0), newRequest(1, 1), newRequest(1, 2))
	assert.Equal(t, w.Counters.OverColdLimit, 1)
	assert.Equal(t, w.Records[0].State, Failed)
}

// TestRetryAvoidsRefusingServer guards against a retry whose ask does not list the server that refused it, and against
// a refused attempt counted as an admission.
func TestRetryAvoidsRefusingServer(t *testing.T) {
	var attempts []pool.Ask
	w := runScript(func(asks []pool.Ask) (d pool.Decisions, rest []pool.Ask) {
		attempts = append(attempts, asks...)
		for _, a := range asks {
			d.Permits = append(d.Permits, pool.Permit{AskID: a.ID, Server: []string{"m1", "m2"}[a.Attempt]})
		}
		return d, nil
	}, func(w *Simulation) { w.Engines["m1"].SetFaults(engine.Faults{Refuse: true}) }, newRequest(1, 0))
	assert.Equal(t, len(attempts), 2)
	assert.DeepEqual(t, attempts[1].Avoid, []string{"m1"})
	assert.Equal(t, w.Records[0].Admissions, 1)
	assert.Equal(t, w.Records[0].Asks, 2)
}

// TestNewHomeReceivesWaitingRequests guards against waiting requests that do not reach the new home and against grants
// before the takeover wait ends.
func TestNewHomeReceivesWaitingRequests(t *testing.T) {
	homes := 0
	req := newRequest(1, 0)
	req.Entry = 1
	w := New(Config{Site: site.Qasr(), Arrivals: []load.Request{req}, NewScheduler: func(pool.Config) Scheduler {
		homes++
		if homes > 2 {
			return &scriptedScheduler{decide: grantAll("m1")}
		}
		return &scriptedScheduler{decide: func(a []pool.Ask) (pool.Decisions, []pool.Ask) { return pool.Decisions{}, a }}
	}})
	w.Clock.At(2*time.Second, func() { w.KillHome(site.Models, 0) })
	w.Run(time.Minute)
	assert.Assert(t, w.Records[0].InTime())
	assert.Assert(t, w.Records[0].GrantedAt.Sub(w.Records[0].ArrivedAt) > time.Second+failureDetectionTime+takeoverWait)
}
