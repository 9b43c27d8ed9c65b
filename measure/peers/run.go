package peers

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// run is an attempt of a request at a backend server.
type run struct {
	instance   *instance
	record     *Record
	server     *fleet.Server
	loadAtSend placement.Load // Load of the backend server that the instance knew of when it sent the request.
	sent       time.Time
	first      time.Time
	stream     *engine.Stream
	ended      bool
}

// admit handles the arrival at the engine, and retries elsewhere if the engine is down or does not admit the request.
func (u *run) admit() {
	if u.ended {
		return
	}
	w, r := u.instance.w, u.record
	w.admissions++
	u.stream = &engine.Stream{
		ID: fmt.Sprint(w.admissions), Route: r.Kind.Name, Prompt: r.Prompt, Output: r.Output,
		Began: u.firstToken, Token: u.token, End: u.streamEnded,
	}
	if w.down[u.server.ID] || !w.engines[u.server.ID].Admit(u.stream) {
		u.ended = true
		u.instance.finishRun(u, placement.Outcome{Unreachable: true})
		w.retry(u.instance, r, u.server)
	}
}

// firstToken handles the first token at the engine.
func (u *run) firstToken() {
	u.instance.w.Clock.After(u.instance.w.cfg.First+engineDelay, u.recordFirstEvent)
}

// recordFirstEvent records the arrival of the first event at the instance.
func (u *run) recordFirstEvent() {
	if u.ended {
		return
	}
	now := u.instance.w.Clock.Now()
	u.first = now
	r := u.record
	r.First, r.lastEvent = now.Sub(r.arrived), now
	u.instance.board.RecordFirstEvent(now, u.instance.w.service, u.server, r.job, u.loadAtSend, now.Sub(u.sent))
}

// token handles a later token at the engine. The caller receives an event when it has all its tokens.
func (u *run) token(time.Duration) {
	now := u.instance.w.Clock.Now()
	if u.ended || u.first.IsZero() || u.stream.Tokens%u.instance.w.cfg.Stride != 0 {
		return
	}
	r := u.record
	r.Pause, r.lastEvent = max(r.Pause, now.Sub(r.lastEvent)), now
}

// streamEnded handles the end of the stream at the engine.
func (u *run) streamEnded(s engine.Stream) {
	if u.ended {
		return
	}
	w := u.instance.w
	if s.Failed {
		u.ended = true
		u.record.Wasted += s.Prefilled() + s.Tokens
		u.instance.finishRun(u, placement.Outcome{FirstEvent: !u.first.IsZero()})
		w.retry(u.instance, u.record, u.server)
		return
	}
	// The first event may still be in transit.
	w.Clock.After(w.cfg.First+2*engineDelay, func() { u.complete(s) })
}

// complete records the end of the answer at the instance.
func (u *run) complete(s engine.Stream) {
	if u.ended {
		return
	}
	u.ended = true
	w, r := u.instance.w, u.record
	r.State, r.Ended = Answered, w.Clock.Now().Sub(r.arrived)
	u.instance.finishRun(u, placement.Outcome{
		Answered: true, OK: true, FirstEvent: true, Total: w.Clock.Now().Sub(u.sent), InterToken: s.Between(), Output: s.Tokens,
	})
}

// cancel cancels the run at its engine and counts its tokens as wasted.
func (u *run) cancel() {
	if u.ended {
		return
	}
	u.ended = true
	if u.stream != nil {
		u.record.Wasted += u.stream.Prefilled() + u.stream.Tokens
		u.instance.w.engines[u.server.ID].Cancel(u.stream.ID)
	}
}
