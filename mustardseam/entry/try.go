package entry

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/http1"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

const (
	// maxAnswer bounds the body of an answer that is not a stream, in bytes; it is held in memory until it is complete.
	maxAnswer = 8 << 20
	// maxSends is the number of sends after which even those that reached no backend server count as repeats.
	maxSends = 5
)

// try sends a request to the backend server of a grant and hands its answer on.
func (i *Instance) try(ctx context.Context, a *attempt, g *Grant) fate {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sent := time.Now()
	a.sends++
	a.grant = g
	w := i.watch(a, g, cancel)
	a.paid = false
	defer func() { a.paid = w.stop() || a.paid }()
	resp, err := i.client.Do(ctx, i.call(a, g))
	if err != nil {
		return i.failed(ctx, a, g, sent, err)
	}
	defer resp.Close()
	verdict := i.cfg.Wire.Verdict(&resp.Header)
	notice := i.cfg.Wire.Notice(&resp.Header)
	if notice.Leaving && verdict != Elsewhere {
		i.leaving(g.Server.Incarnation())
	}
	status := resp.Header.StatusCode()
	switch {
	case verdict == NotRun || verdict == Elsewhere:
		resp.Skip()
		a.reason = "backend server did not run the request"
		// Another backend server at the address means that the entry is outdated: this one is gone.
		i.scheduler.Finish(g, place.Outcome{Refused: verdict == NotRun, Quiet: notice.Quiet})
		return again
	case verdict == Unsigned || len(resp.Header.Peek(fasthttp.HeaderContentEncoding)) > 0:
		a.runs++
		a.reason = "answer is not the backend server's"
		i.scheduler.Finish(g, place.Outcome{Answered: true})
		return again
	}
	if a.route.Kind == fleet.Stream && status/100 == 2 {
		return i.stream(ctx, a, g, resp, sent, w)
	}
	if a.exchange.Started() {
		// The caller has a part of a stream, into which this answer must not be written.
		a.runs++
		a.reason = "backend server did not go on with the stream"
		i.scheduler.Finish(g, place.Outcome{Answered: true})
		return again
	}
	return i.plain(ctx, a, g, resp, sent)
}

// call makes the request to the backend server of a grant.
func (i *Instance) call(a *attempt, g *Grant) http1.Call {
	left := time.Until(a.job.Deadline)
	f := Forward{
		Server: g.Server, Keyed: a.view.Config.Keyed(), Left: left - transferTime, LastEvent: a.last,
		Resumed: a.last != a.meta.LastEvent,
	}
	if a.team != nil {
		f.Team = a.team.Name
	}
	call := http1.Call{
		Server: g.Server, Head: i.cfg.Wire.Forward(a.exchange.Header, f), Body: a.exchange.Body, Deadline: a.job.Deadline,
		Once: !a.route.Repeatable(), Alone: a.meta.ID == "" || a.tried(g.Server),
		Own: func(h *fasthttp.ResponseHeader) bool { return i.cfg.Wire.Own(h, a.meta.ID) },
	}
	return call
}

// failed judges a request without an answer.
func (i *Instance) failed(ctx context.Context, a *attempt, g *Grant, sent time.Time, err error) fate {
	a.reason = err.Error()
	if errors.Is(err, http1.ErrNotSent) {
		// What never arrived does not count as a repeat; the number of sends keeps it from going on for ever.
		a.paid = a.sends < maxSends
	} else {
		a.runs++
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, http1.ErrGone):
		i.scheduler.Finish(g, place.Outcome{Left: true})
		a.reason = "caller has gone"
		return left
	case errors.Is(cause, errTimeout) || !time.Now().Before(a.job.Deadline):
		// Silence up to the end speaks against the backend server only if it answered nothing else for a while.
		i.scheduler.Finish(g, place.Outcome{Left: !i.silentSince(g, sent)})
		return finished
	}
	i.scheduler.Finish(g, place.Outcome{Unreached: errors.Is(err, http1.ErrNotSent)})
	return again
}

// silentSince reports whether a backend server has answered nothing since a request was sent to it, long enough to speak
// against it. Bytes that make no answer do not count.
func (i *Instance) silentSince(g *Grant, sent time.Time) bool {
	return time.Since(sent) >= silenceLeast && !i.scheduler.Answered(g).After(sent)
}

// plain hands on an answer in one piece.
func (i *Instance) plain(ctx context.Context, a *attempt, g *Grant, resp *http1.Response, sent time.Time) fate {
	body, err := resp.Body(maxAnswer)
	if err != nil {
		return i.failed(ctx, a, g, sent, err)
	}
	a.runs++
	status := resp.Header.StatusCode()
	ok := status < fasthttp.StatusInternalServerError
	i.scheduler.Finish(g, place.Outcome{Answered: true, OK: ok, Total: time.Since(sent)})
	i.sample(a, g, ok, time.Since(sent), 0)
	a.reason = "backend server failed the request"
	if !ok && a.mayRepeat() && i.scheduler.Retry(a.service) {
		// The retry is paid for here; run would ask for it again.
		a.job.Tried = append(a.job.Tried, g.Server.Incarnation())
		if i.repeatFailed(ctx, a) {
			return answered
		}
	}
	a.status = status
	a.reason = "answered"
	if h := i.cfg.Wire.Answer(&resp.Header); resp.Framed() {
		a.exchange.Reply(h, body)
	} else {
		a.exchange.ReplyToEnd(h, body)
	}
	return answered
}

// repeatFailed tries another backend server after a failure that was answered; when that fails too, the caller gets the
// first failure.
func (i *Instance) repeatFailed(ctx context.Context, a *attempt) bool {
	i.metrics.retries.Inc()
	i.logRetry(a)
	g, err := i.scheduler.Obtain(ctx, a.service, a.job)
	if err != nil {
		return false
	}
	a.server = g.Server.ID
	return i.try(ctx, a, g) == answered
}
