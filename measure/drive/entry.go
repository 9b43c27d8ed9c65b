package drive

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/measure/load"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// entry is an entry instance.
type entry struct {
	name   string
	centre string
	dead   bool
}

// live returns the entry instance of the number, or the next one that lives, as a load balancer does.
func (w *World) live(n int) *entry {
	for i := range w.entries {
		if e := w.entries[(n+i)%len(w.entries)]; !e.dead {
			return e
		}
	}
	return w.entries[n]
}

// call brings a caller's request to an entry instance.
func (w *World) call(req load.Request, tried int) {
	r := &Record{Request: req, Arrived: w.Clock.Now(), entry: w.live(req.Entry), tried: tried}
	r.deadline = r.Arrived.Add(req.Timeout)
	w.Records = append(w.Records, r)
	w.Clock.After(toClient, func() {
		if r.State != Open {
			return
		}
		w.ask(r)
		// The final answer must reach the caller by the deadline.
		w.Clock.After(req.Timeout-2*toClient, func() { w.expire(r) })
	})
}

// ask sends a new ask for the request to the home.
func (w *World) ask(r *Record) {
	r.ask = fmt.Sprintf("%s#%d", r.ID, r.Asks)
	r.Asks++
	r.waits = true
	w.send(r)
}

// send sends the current ask, which may be a repetition for a new home.
func (w *World) send(r *Record) {
	h := w.home(r)
	a := pool.Ask{
		ID: r.ask, EntryInstance: r.entry.name, DataCentre: r.entry.centre, Team: r.Team, Tier: r.Tier, Route: r.Route,
		PromptTokens: r.Prompt, MaxOutputTokens: r.MaxOutput, Prefix: r.Blocks, Deadline: r.deadline, Key: r.Key,
		NonIdempotent: r.NonIdempotent, Attempt: r.Asks - 1, Avoid: r.avoid,
	}
	w.Clock.After(latency(r.entry.centre, h.entry.centre), func() { h.ask(r, a) })
}

func (w *World) home(r *Record) *home { return w.homes[w.route(r.Route).Pool] }

// start uses a permit, unless the request has ended meanwhile.
func (w *World) start(r *Record, p pool.Permit) {
	if r.entry.dead {
		return
	}
	if r.State != Open || r.ask != p.Ask {
		w.report(r, pool.Outcome{Ask: p.Ask, Result: pool.NotRun, PermitUnused: true})
		return
	}
	r.waits = false
	w.Clock.After(latency(r.entry.centre, w.centres[p.Server]), func() { w.admit(r, p) })
}

// admit brings a request to the backend server.
func (w *World) admit(r *Record, p pool.Permit) {
	e := w.Engines[p.Server]
	if r.State != Open {
		w.report(r, pool.Outcome{Ask: p.Ask, Result: pool.NotRun, PermitUnused: true})
		return
	}
	if e.Cold() && e.Load() >= e.Config().ColdLimit && r.warm {
		w.Tally.OverColdUnknown++
	} else if e.Cold() && e.Load() >= e.Config().ColdLimit {
		w.Tally.OverCold++
	}
	s := &engine.Stream{ID: p.Ask, Route: r.Route, Prompt: r.Prompt, Output: r.Output, Blocks: r.Blocks}
	if w.OnToken != nil {
		s.Token = func(gap time.Duration) { w.OnToken(r, gap) }
	}
	back := latency(w.centres[p.Server], r.entry.centre)
	s.End = func(s engine.Stream) { w.Clock.After(back, func() { w.ended(r, s) }) }
	r.stream = s
	if e.Admit(s) {
		r.Runs++
		return
	}
	r.stream = nil
	w.Clock.After(back, func() { w.notRun(r, p, e.Cold()) })
}

// notRun asks again after a server refused a request before it ran.
func (w *World) notRun(r *Record, p pool.Permit, cold bool) {
	w.report(r, pool.Outcome{Ask: p.Ask, Result: pool.NotRun, Cold: cold})
	if r.State != Open || r.entry.dead {
		return
	}
	r.avoid = append(r.avoid, p.Server)
	w.ask(r)
}

// ended takes in the end of a stream.
func (w *World) ended(r *Record, s engine.Stream) {
	if r.stream == nil || r.entry.dead {
		return
	}
	r.stream = nil
	o := pool.Outcome{
		Ask: s.ID, Result: pool.OK, PromptTokens: s.Prompt, CachedTokens: s.Cached, OutputTokens: s.Tokens, InterToken: s.Between(),
		Cold: s.Cold, Status: 200,
	}
	if s.Tokens > 0 {
		o.FirstToken = s.First.Sub(s.Start)
	}
	state := Answered
	if s.Failed {
		o.Result, o.Status, state = pool.Failed, 500, Failed
	}
	w.report(r, o)
	if r.State != Open {
		return
	}
	r.Tokens = s.Tokens
	if s.Tokens > 0 {
		r.First = s.First.Sub(r.Arrived) + latency(w.centres[r.Server], r.entry.centre) + toClient
	}
	if state == Answered && (s.ID != r.ask || s.Tokens != r.Output) {
		w.Tally.Mixed++
	}
	w.finish(r, state, "", 0)
	if r.InTime() {
		w.credit(s)
	}
}

// expire ends a request whose deadline has come.
func (w *World) expire(r *Record) {
	if r.State != Open || r.entry.dead {
		return
	}
	h := w.home(r)
	if r.waits {
		w.Clock.After(latency(r.entry.centre, h.entry.centre), func() { h.withdraw(r) })
	}
	if s := r.stream; s != nil {
		r.stream = nil
		there := latency(r.entry.centre, w.centres[r.Server])
		w.Clock.After(there, func() { w.Engines[r.Server].Cancel(s.ID) })
		w.report(r, pool.Outcome{Ask: s.ID, Result: pool.Cancelled, PromptTokens: s.Prompt, CachedTokens: s.Cached, OutputTokens: s.Tokens})
	}
	w.finish(r, Late, "deadline", 0)
}

// report sends an outcome to the home.
func (w *World) report(r *Record, o pool.Outcome) {
	h := w.home(r)
	w.Clock.After(latency(r.entry.centre, h.entry.centre), func() { w.home(r).done(r, o) })
}

// finish gives the caller the final answer, which makes it call again when the answer is a refusal or a broken
// connection and it has retries left.
func (w *World) finish(r *Record, state State, reason string, after time.Duration) {
	r.State, r.Reason = state, reason
	r.Ended = w.Clock.Now().Add(toClient)
	r.Answers++
	if state == Refused && r.Runs > 0 {
		w.Tally.FalseNotRun++
	}
	again := state == Refused || state == Broken && !r.NonIdempotent
	if !again || r.tried >= w.cfg.Retries {
		return
	}
	r.Repeats = true
	req := r.Request
	req.ID += "r"
	w.Clock.After(toClient+max(after, w.cfg.RetryAfter), func() { w.call(req, r.tried+1) })
}

// credit counts the prompt tokens that no earlier answered request had computed.
func (w *World) credit(s engine.Stream) {
	for i, b := range s.Blocks {
		if i*engine.BlockTokens >= s.Cached && !w.seen[b] {
			w.Tally.Useful += engine.BlockTokens
		}
		w.seen[b] = true
	}
	w.Tally.Useful += s.Prompt - len(s.Blocks)*engine.BlockTokens
}
