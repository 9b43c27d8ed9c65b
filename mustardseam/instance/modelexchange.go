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

// maxResumes is the largest number of attempts to resume one stream.
const maxResumes = 3

// modelExchange forwards the streamed answer of an engine to the caller.
type modelExchange struct {
	inst    *Instance
	request caller.Request
	ask     pool.Ask
	permit  pool.Permit
	call    engine.Call
	stream  *engine.Stream

	started       time.Time // Time of the dispatch.
	firstToken    time.Time // Time of the first token; zero before it.
	lastToken     time.Time // Time of the latest token.
	contentEvents int       // Number of events with content, the unit in which a resume gives its position.
	resumes       int
	text          strings.Builder
	finishReason  string
	usage         *engine.Usage
	result        pool.Result // Empty until the answer has ended.
}

// Head returns the status and the headers.
func (x *modelExchange) Head() (int, map[string]string) {
	return http.StatusOK, map[string]string{
		"Mustardseam-Backend-Server": x.permit.Server, "Mustardseam-Version": x.permit.Version,
	}
}

// Next returns the next event. It resumes the stream after an interruption.
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
		x.recordEvent(ev)
		return ev.Data, nil
	}
}

// recordEvent updates the text, the token times and the usage from an event.
func (x *modelExchange) recordEvent(ev engine.Event) {
	if ev.Content != "" {
		x.lastToken = x.inst.cfg.Now()
		if x.contentEvents == 0 {
			x.firstToken = x.lastToken
		}
		x.contentEvents++
		x.text.WriteString(ev.Content)
	}
	if ev.FinishReason != "" {
		x.finishReason = ev.FinishReason
	}
	if ev.Usage != nil {
		x.usage = ev.Usage
	}
}

// resume resumes the stream at the same engine, or returns the cause of the interruption if that fails.
func (x *modelExchange) resume(cause error) error {
	log := &x.inst.log
	for x.resumes < maxResumes && x.inst.cfg.Now().Before(x.call.Deadline) {
		x.resumes++
		x.stream.Close()
		s, err := x.inst.engines.Resume(x.call, x.contentEvents)
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
	event.ResponseIncomplete.Log(log).Str("request", x.call.ID).Str("server", x.permit.Server).Err(cause).Send()
	return cause
}

// ReadAll reads the stream to its end and returns the complete answer.
func (x *modelExchange) ReadAll() ([]byte, *caller.Problem) {
	for {
		if callerGone(x.request) {
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
	b, err := x.completionBody()
	if err != nil {
		return nil, caller.NewProblem("internal", http.StatusInternalServerError, false, err.Error())
	}
	return b, nil
}

// Close cancels the request at the engine if its answer has not ended, and reports the outcome to the home.
func (x *modelExchange) Close() {
	if x.result == "" {
		x.result = pool.Cancelled
		// A failed cancel only wastes work: the engine ends the stream at its length limit.
		_ = x.inst.engines.Cancel(x.permit.Address, x.call.ID)
	}
	x.stream.Close()
	if x.result == pool.OK && x.ask.Key != "" {
		if b, err := x.completionBody(); err == nil {
			x.inst.replay.put(x.ask.ID, storedAnswer{Status: http.StatusOK, Body: b})
		}
	}
	x.inst.finish(x.request, x.outcome())
}

// outcome returns the result, the token counts and the latencies for the home.
func (x *modelExchange) outcome() pool.Outcome {
	o := pool.Outcome{AskID: x.ask.ID, Result: x.result, OutputTokens: x.contentEvents, Status: http.StatusOK, PromptTokens: x.request.PromptTokens}
	if x.usage != nil {
		o.PromptTokens = x.usage.PromptTokens
		o.CachedTokens = x.usage.PromptDetails.CachedTokens
		o.OutputTokens = x.usage.OutputTokens
	}
	if x.contentEvents > 0 {
		o.FirstToken = x.firstToken.Sub(x.started)
	}
	if x.contentEvents > 1 {
		o.InterToken = x.lastToken.Sub(x.firstToken) / time.Duration(x.contentEvents-1)
	}
	return o
}
