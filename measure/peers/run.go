package peers

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/measure/engine"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// run is a request at a backend server.
type run struct {
	node   *node
	record *Record
	server *fleet.Server
	ahead  placement.Load // That the backend server had when it was sent, as the instance knew.
	sent   time.Time
	first  time.Time
	stream *engine.Stream
	over   bool
}

// admit is the arrival at the engine.
func (u *run) admit() {
	if u.over {
		return
	}
	w, r := u.node.w, u.record
	w.runs++
	u.stream = &engine.Stream{
		ID: fmt.Sprint(w.runs), Route: r.Kind.Name, Prompt: r.Prompt, Output: r.Output,
		Began: u.began, Token: u.token, End: u.end,
	}
	if w.down[u.server.ID] || !w.engines[u.server.ID].Admit(u.stream) {
		u.over = true
		u.node.finish(u, placement.Outcome{Unreachable: true})
		w.again(u.node, r, u.server)
	}
}

// began is the first token at the engine.
func (u *run) began() { u.node.w.Clock.After(u.node.w.cfg.First+toEngine, u.shown) }

// shown is the first event at the instance.
func (u *run) shown() {
	if u.over {
		return
	}
	now := u.node.w.Clock.Now()
	u.first = now
	r := u.record
	r.First, r.came = now.Sub(r.arrived), now
	u.node.board.RecordFirstEvent(now, u.node.w.service, u.server, r.job, u.ahead, now.Sub(u.sent))
}

// token is a later token at the engine; a whole event goes to the caller.
func (u *run) token(time.Duration) {
	now := u.node.w.Clock.Now()
	if u.over || u.first.IsZero() || u.stream.Tokens%u.node.w.cfg.Stride != 0 {
		return
	}
	r := u.record
	r.Pause, r.came = max(r.Pause, now.Sub(r.came)), now
}

// end is the end at the engine.
func (u *run) end(s engine.Stream) {
	if u.over {
		return
	}
	w := u.node.w
	if s.Failed {
		u.over = true
		u.record.Wasted += s.Prefilled() + s.Tokens
		u.node.finish(u, placement.Outcome{FirstEvent: !u.first.IsZero()})
		w.again(u.node, u.record, u.server)
		return
	}
	// The first event may still be on its way.
	w.Clock.After(w.cfg.First+2*toEngine, func() { u.whole(s) })
}

// whole is the end of the answer at the instance.
func (u *run) whole(s engine.Stream) {
	if u.over {
		return
	}
	u.over = true
	w, r := u.node.w, u.record
	r.State, r.Ended = Answered, w.Clock.Now().Sub(r.arrived)
	u.node.finish(u, placement.Outcome{
		Answered: true, OK: true, FirstEvent: true, Total: w.Clock.Now().Sub(u.sent), InterToken: s.Between(), Output: s.Tokens,
	})
}

// cancel takes a request back from its engine.
func (u *run) cancel() {
	if u.over {
		return
	}
	u.over = true
	if u.stream != nil {
		u.record.Wasted += u.stream.Prefilled() + u.stream.Tokens
		u.node.w.engines[u.server.ID].Cancel(u.stream.ID)
	}
}
