package drive

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/measure/load"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// entry is an instance that receives calls and forwards them to backend servers.
type entry struct {
	name   string
	centre string
	dead   bool
}

// liveEntry returns entry instance n, or the next one that is alive, as a load balancer does. If none is alive, it
// returns n.
func (sim *Simulation) liveEntry(n int) *entry {
	for i := range sim.entries {
		if e := sim.entries[(n+i)%len(sim.entries)]; !e.dead {
			return e
		}
	}
	return sim.entries[n]
}

// receiveCall records a caller's request and delivers it to an entry instance.
func (sim *Simulation) receiveCall(req load.Request, previousCalls int) {
	r := &Record{Request: req, ArrivedAt: sim.Clock.Now(), entry: sim.liveEntry(req.Entry), previousCalls: previousCalls}
	r.deadline = r.ArrivedAt.Add(req.Timeout)
	sim.Records = append(sim.Records, r)
	sim.Clock.After(clientLatency, func() {
		if r.State != Open {
			return
		}
		sim.sendNewAsk(r)
		// The final answer must reach the caller by the deadline.
		sim.Clock.After(req.Timeout-2*clientLatency, func() { sim.expire(r) })
	})
}

// sendNewAsk creates a new ask for the request and sends it to the home.
func (sim *Simulation) sendNewAsk(r *Record) {
	r.currentAsk = fmt.Sprintf("%s#%d", r.ID, r.Asks)
	r.Asks++
	r.awaitsDecision = true
	sim.sendAsk(r)
}

// sendAsk sends the current ask to the home. After a takeover it is sent again, to the new home.
func (sim *Simulation) sendAsk(r *Record) {
	h := sim.homeOf(r)
	a := pool.Ask{
		ID: r.currentAsk, EntryInstance: r.entry.name, DataCentre: r.entry.centre, Team: r.Team, Tier: r.Tier, Route: r.Route,
		PromptTokens: r.Prompt, MaxOutputTokens: r.MaxOutput, Prefix: r.Blocks, Deadline: r.deadline, Key: r.Key,
		NonIdempotent: r.NonIdempotent, Attempt: r.Asks - 1, Avoid: r.avoidServers,
	}
	sim.Clock.After(latency(r.entry.centre, h.entry.centre), func() { h.receiveAsk(r, a) })
}

func (sim *Simulation) homeOf(r *Record) *home { return sim.homes[sim.routeByName(r.Route).Pool] }

// usePermit sends the request to the permitted server, or returns the permit unused if the request has ended meanwhile.
func (sim *Simulation) usePermit(r *Record, p pool.Permit) {
	if r.entry.dead {
		return
	}
	if r.State != Open || r.currentAsk != p.AskID {
		sim.reportOutcome(r, pool.Outcome{AskID: p.AskID, Result: pool.NotRun, PermitUnused: true})
		return
	}
	r.awaitsDecision = false
	sim.Clock.After(latency(r.entry.centre, sim.serverCentres[p.Server]), func() { sim.admit(r, p) })
}

// admit delivers a request to the backend server.
func (sim *Simulation) admit(r *Record, p pool.Permit) {
	e := sim.Engines[p.Server]
	if r.State != Open {
		sim.reportOutcome(r, pool.Outcome{AskID: p.AskID, Result: pool.NotRun, PermitUnused: true})
		return
	}
	if e.Cold() && e.Load() >= e.Config().ColdLimit && r.believedWarm {
		sim.Counters.OverColdLimitUnannounced++
	} else if e.Cold() && e.Load() >= e.Config().ColdLimit {
		sim.Counters.OverColdLimit++
	}
	s := &engine.Stream{ID: p.AskID, Route: r.Route, Prompt: r.Prompt, Output: r.Output, Blocks: r.Blocks}
	if sim.OnToken != nil {
		s.Token = func(gap time.Duration) { sim.OnToken(r, gap) }
	}
	returnLatency := latency(sim.serverCentres[p.Server], r.entry.centre)
	s.End = func(s engine.Stream) { sim.Clock.After(returnLatency, func() { sim.streamEnded(r, s) }) }
	r.stream = s
	if e.Admit(s) {
		r.Admissions++
		return
	}
	r.stream = nil
	sim.Clock.After(returnLatency, func() { sim.retryNotRun(r, p, e.Cold()) })
}

// retryNotRun reports that a server refused the request before it ran, and asks again for another server.
func (sim *Simulation) retryNotRun(r *Record, p pool.Permit, cold bool) {
	sim.reportOutcome(r, pool.Outcome{AskID: p.AskID, Result: pool.NotRun, Cold: cold})
	if r.State != Open || r.entry.dead {
		return
	}
	r.avoidServers = append(r.avoidServers, p.Server)
	sim.sendNewAsk(r)
}

// streamEnded handles the end of a stream: it reports the outcome to the home and answers the caller.
func (sim *Simulation) streamEnded(r *Record, s engine.Stream) {
	if r.stream == nil || r.entry.dead {
		return
	}
	r.stream = nil
	o := pool.Outcome{
		AskID: s.ID, Result: pool.OK, PromptTokens: s.Prompt, CachedTokens: s.CachedTokens, OutputTokens: s.Tokens, InterToken: s.Between(),
		Cold: s.Cold, Status: 200,
	}
	if s.Tokens > 0 {
		o.FirstToken = s.First.Sub(s.Start)
	}
	state := Answered
	if s.Failed {
		o.Result, o.Status, state = pool.Failed, 500, Failed
	}
	sim.reportOutcome(r, o)
	if r.State != Open {
		return
	}
	r.AnswerTokens = s.Tokens
	if s.Tokens > 0 {
		r.FirstToken = s.First.Sub(r.ArrivedAt) + latency(sim.serverCentres[r.Server], r.entry.centre) + clientLatency
	}
	if state == Answered && (s.ID != r.currentAsk || s.Tokens != r.Output) {
		sim.Counters.WrongAnswers++
	}
	sim.finish(r, state, "", 0)
	if r.InTime() {
		sim.countUsefulTokens(s)
	}
}

// expire ends a request whose deadline has come, withdrawing its ask or cancelling its stream.
func (sim *Simulation) expire(r *Record) {
	if r.State != Open || r.entry.dead {
		return
	}
	h := sim.homeOf(r)
	if r.awaitsDecision {
		sim.Clock.After(latency(r.entry.centre, h.entry.centre), func() { h.withdraw(r) })
	}
	if s := r.stream; s != nil {
		r.stream = nil
		there := latency(r.entry.centre, sim.serverCentres[r.Server])
		sim.Clock.After(there, func() { sim.Engines[r.Server].Cancel(s.ID) })
		sim.reportOutcome(r, pool.Outcome{AskID: s.ID, Result: pool.Cancelled, PromptTokens: s.Prompt, CachedTokens: s.CachedTokens, OutputTokens: s.Tokens})
	}
	sim.finish(r, Expired, "deadline", 0)
}

// reportOutcome sends the outcome of an ask to the pool's current home.
func (sim *Simulation) reportOutcome(r *Record, o pool.Outcome) {
	h := sim.homeOf(r)
	sim.Clock.After(latency(r.entry.centre, h.entry.centre), func() { sim.homeOf(r).receiveOutcome(r, o) })
}

// finish delivers the final answer to the caller. If retries are left, the caller repeats the call after a refusal, and
// after a broken connection unless the request is non-idempotent.
func (sim *Simulation) finish(r *Record, state State, reason string, retryAfter time.Duration) {
	r.State, r.Reason = state, reason
	r.EndedAt = sim.Clock.Now().Add(clientLatency)
	r.FinalAnswers++
	if state == Refused && r.Admissions > 0 {
		sim.Counters.FalseNotRun++
	}
	retryable := state == Refused || state == ConnectionLost && !r.NonIdempotent
	if !retryable || r.previousCalls >= sim.cfg.MaxRetries {
		return
	}
	r.Retried = true
	req := r.Request
	req.ID += "r"
	sim.Clock.After(clientLatency+max(retryAfter, sim.cfg.MinRetryDelay), func() { sim.receiveCall(req, r.previousCalls+1) })
}

// countUsefulTokens counts the prompt tokens that no earlier request answered in time had computed.
func (sim *Simulation) countUsefulTokens(s engine.Stream) {
	for i, b := range s.Blocks {
		if i*engine.BlockTokens >= s.CachedTokens && !sim.computedBlocks[b] {
			sim.Counters.UsefulPromptTokens += engine.BlockTokens
		}
		sim.computedBlocks[b] = true
	}
	sim.Counters.UsefulPromptTokens += s.Prompt - len(s.Blocks)*engine.BlockTokens
}
