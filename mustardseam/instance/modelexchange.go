package instance

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/caller"
	"github.com/mustardseam/mustardseam/mustardseam/engine"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
)

// maxResumes bounds the resumptions of one stream.
const maxResumes = 3

// modelExchange is the answer of an engine on its way to the caller.
type modelExchange struct {
	inst    *Instance
	request caller.Request
	ask     pool.Ask
	permit  pool.Permit
	call    engine.Call
	stream  *engine.Stream

	started time.Time // Dispatch.
	first   time.Time // First token; zero before it.
	last    time.Time // Newest token.
	tokens  int       // Events with content, which is what a resume counts.
	resumes int
	text    strings.Builder
	finish  string
	usage   *engine.Usage
	result  pool.Result // Empty while the answer is running.
}

// Head returns status and headers.
func (x *modelExchange) Head() (int, map[string]string) {
	return http.StatusOK, map[string]string{
		"Mustardseam-Backend-Server": x.permit.Server, "Mustardseam-Version": x.permit.Version,
	}
}

// Next returns the next event and resumes a broken stream.
func (x *modelExchange) Next() ([]byte, error) {
	for {
		ev, err := x.stream.Next()
		if err != nil {
			if err := x.resume(err); err != nil {
				x.result = pool.Incomplete
				return nil, err
			}
			continue
		}
		if ev.Data == nil {
			x.result = pool.OK
			return nil, io.EOF
		}
		x.note(ev)
		return ev.Data, nil
	}
}

// note accounts for an event.
func (x *modelExchange) note(ev engine.Event) {
	if ev.Content != "" {
		x.last = x.inst.cfg.Now()
		if x.tokens == 0 {
			x.first = x.last
		}
		x.tokens++
		x.text.WriteString(ev.Content)
	}
	if ev.Finish != "" {
		x.finish = ev.Finish
	}
	if ev.Usage != nil {
		x.usage = ev.Usage
	}
}

// resume continues the stream at the same engine, or returns the cause when that is impossible.
func (x *modelExchange) resume(cause error) error {
	log := &x.inst.log
	for x.resumes < maxResumes && x.inst.cfg.Now().Before(x.call.Deadline) {
		x.resumes++
		x.stream.Close()
		s, err := x.inst.engines.Resume(x.call, x.tokens)
		if err == nil {
			x.stream = s
			event.StreamResumed.Log(log).Str("request", x.call.ID).Str("server", x.permit.Server).Send()
			return nil
		}
		var status *engine.StatusError
		if errors.As(err, &status) {
			break
		}
	}
	event.AnswerIncomplete.Log(log).Str("request", x.call.ID).Str("server", x.permit.Server).Err(cause).Send()
	return cause
}

// Whole reads the answer to its end.
func (x *modelExchange) Whole() ([]byte, *caller.Problem) {
	for {
		if gone(x.request) {
			return nil, caller.NewProblem("caller-gone", statusCallerGone, false, "the caller ended the connection")
		}
		_, err := x.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, caller.NewProblem("incomplete", http.StatusBadGateway, false, "the answer is incomplete")
		}
	}
	b, err := x.whole()
	if err != nil {
		return nil, caller.NewProblem("internal", http.StatusInternalServerError, false, err.Error())
	}
	return b, nil
}

// Close reports the outcome; an answer that is still running is cancelled at the engine.
func (x *modelExchange) Close() {
	if x.result == "" {
		x.result = pool.Cancelled
		// A failed cancel only wastes work of the engine, which ends the stream at its length limit.
		_ = x.inst.engines.Cancel(x.permit.Address, x.call.ID)
	}
	x.stream.Close()
	if x.result == pool.OK && x.ask.Key != "" {
		if b, err := x.whole(); err == nil {
			x.inst.replay.put(x.ask.ID, stored{Status: http.StatusOK, Body: b})
		}
	}
	x.inst.finish(x.request, x.outcome())
}

// outcome describes the run for the home.
func (x *modelExchange) outcome() pool.Outcome {
	o := pool.Outcome{Ask: x.ask.ID, Result: x.result, OutputTokens: x.tokens, Status: http.StatusOK, PromptTokens: x.request.Prompt}
	if x.usage != nil {
		o.PromptTokens = x.usage.Prompt
		o.CachedTokens = x.usage.Details.Cached
		o.OutputTokens = x.usage.Output
	}
	if x.tokens > 0 {
		o.FirstToken = x.first.Sub(x.started)
	}
	if x.tokens > 1 {
		o.InterToken = x.last.Sub(x.first) / time.Duration(x.tokens-1)
	}
	return o
}
