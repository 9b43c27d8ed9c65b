package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/http1"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

const (
	// maxAnswerBytes bounds the body of an answer that is not a stream; it is held in memory until it is complete.
	maxAnswerBytes = 8 << 20
	// firstChargedAttempt is the number of the attempt from which on a retry is charged to the retry budget even if the attempt
	// reached no backend server.
	firstChargedAttempt = 5
)

// attempt sends a request to the backend server of a grant and forwards its answer.
func (i *Instance) attempt(ctx context.Context, req *request, g *Grant) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sent := time.Now()
	req.sentAt = sent
	req.sends++
	req.grant = g
	if req.serverLimit = i.scheduler.serverLimit(g.Server); req.serverLimit.Named {
		i.metrics.limitedSends.Inc()
	}
	stall := i.watchForStall(req, g, cancel)
	req.retryCovered = false
	defer func() { req.retryCovered = stall.stop() || req.retryCovered }()
	resp, err := i.client.Do(ctx, i.backendCall(req, g))
	if err != nil {
		return i.attemptFailed(ctx, req, g, sent, err)
	}
	defer resp.Close()
	execution := i.cfg.HeaderCodec.ExecutionStatus(&resp.Header)
	notice := i.cfg.HeaderCodec.ServerNotice(&resp.Header)
	if notice.Leaving && execution != WrongServer {
		i.markLeaving(g.Server.Incarnation())
	}
	i.recordLimit(req, g, sent, execution, notice)
	status := resp.Header.StatusCode()
	switch {
	case execution == NotExecuted || execution == WrongServer:
		resp.DiscardBody()
		req.reason = "backend server did not run the request"
		// If another backend server has the address now, the store entry is outdated and the chosen one no longer exists.
		i.scheduler.Finish(g, placement.Outcome{NotRun: execution == NotExecuted, Backoff: notice.Backoff})
		return resultRetry
	case execution == Unsealed || len(resp.Header.Peek(fasthttp.HeaderContentEncoding)) > 0:
		req.runs++
		req.reason = "answer is not the backend server's"
		i.recordFailure(req, g, false)
		i.scheduler.Finish(g, placement.Outcome{Answered: true})
		return resultRetry
	}
	if req.route.Kind == fleet.Stream && status/100 == 2 {
		return i.forwardStream(ctx, req, g, resp, sent, stall)
	}
	if req.exchange.HeaderSent() {
		// The caller has received part of a stream; this answer must not be written into it.
		req.runs++
		req.reason = "backend server did not go on with the stream"
		i.scheduler.Finish(g, placement.Outcome{Answered: true})
		return resultRetry
	}
	return i.forwardAnswer(ctx, req, g, resp, sent)
}

// backendCall builds the request to the backend server of a grant.
func (i *Instance) backendCall(req *request, g *Grant) http1.Call {
	remaining := time.Until(req.job.Deadline)
	f := Forward{
		Server: g.Server, StripAPIKey: req.view.Config.RequiresKeys(), TimeLeft: remaining - transferTime,
		LastEventID: req.lastEventID,
		Resumed:     req.lastEventID != req.meta.LastEventID,
	}
	if req.team != nil {
		f.Team = req.team.Name
	}
	call := http1.Call{
		Server: g.Server, Header: i.cfg.HeaderCodec.Forward(req.exchange.Header, f), Body: req.exchange.Body,
		Deadline:   req.job.Deadline,
		AtMostOnce: !req.route.Repeatable(), Exclusive: req.meta.ID == "" || req.tried(g.Server),
		Matches: func(h *fasthttp.ResponseHeader) bool { return i.cfg.HeaderCodec.IsAnswerTo(h, req.meta.ID) },
	}
	return call
}

// attemptFailed handles an attempt that got no complete response.
func (i *Instance) attemptFailed(ctx context.Context, req *request, g *Grant, sent time.Time, err error) attemptResult {
	req.reason = err.Error()
	if errors.Is(err, http1.ErrNotSent) {
		// An attempt that did not reach the backend server is not charged to the budget. From firstChargedAttempt on it is, so
		// that the budget ends the loop in runAttempts.
		req.retryCovered = req.sends < firstChargedAttempt
	} else {
		req.runs++
	}
	i.recordCut(ctx, req, g, 0, err)
	cut := isCut(ctx, err)
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, http1.ErrCallerGone):
		i.recordAbandoned(req, g, sent, streamProgress{})
		i.scheduler.Finish(g, placement.Outcome{Abandoned: true})
		req.reason = "caller has gone"
		return resultCallerGone
	case errors.Is(cause, errStopping):
		i.scheduler.Finish(g, placement.Outcome{Abandoned: true})
		req.reason = cause.Error()
		return resultFailed
	case errors.Is(cause, errTimeout) || !time.Now().Before(req.job.Deadline):
		i.recordFailure(req, g, false)
		// Reaching the deadline counts against the backend server only if it answered no other request for a while.
		i.scheduler.Finish(g, placement.Outcome{Abandoned: !i.stalledSince(g, sent)})
		return resultFailed
	}
	if !errors.Is(err, http1.ErrNotSent) {
		i.recordFailure(req, g, cut)
	}
	i.scheduler.Finish(g, placement.Outcome{Unreachable: errors.Is(err, http1.ErrNotSent)})
	return resultRetry
}

// stalledSince reports whether a backend server has answered nothing since a request was sent to it, for long enough to
// count as a failure. Bytes that do not form an answer are ignored.
func (i *Instance) stalledSince(g *Grant, sent time.Time) bool {
	return time.Since(sent) >= eventTimeout && !i.scheduler.LastAnswer(g).After(sent)
}

// forwardAnswer forwards an answer that is not a stream.
func (i *Instance) forwardAnswer(
	ctx context.Context, req *request, g *Grant, resp *http1.Response, sent time.Time,
) attemptResult {
	body, err := resp.ReadBody(ctx, maxAnswerBytes)
	if err == nil && !resp.SelfDelimited() {
		err = i.checkEnd(ctx, g)
	}
	if err != nil {
		return i.attemptFailed(ctx, req, g, sent, err)
	}
	req.runs++
	i.duties.countRequest(req)
	status := resp.Header.StatusCode()
	if status/100 == 2 && resp.SelfDelimited() {
		i.recordSound(req) // An error may come before the prompt is processed.
	}
	ok := status < fasthttp.StatusInternalServerError
	i.scheduler.Finish(g, placement.Outcome{Answered: true, OK: ok, Total: time.Since(sent)})
	if ok {
		i.recordSuccess(req, g, time.Since(sent), 0)
	} else {
		i.recordFailure(req, g, false)
	}
	req.reason = "backend server failed the request"
	if !ok && req.mayRepeat() && i.scheduler.TakeRetry(req.service) {
		// The retry was taken from the budget here; runAttempts would take it again.
		req.job.Tried = append(req.job.Tried, g.Server.Incarnation())
		// The first answer must not follow the beginning of a stream.
		if result := i.retryFailedAnswer(ctx, req); result == resultAnswered || req.exchange.HeaderSent() {
			return result
		}
	}
	req.status = status
	req.reason = "answered"
	req.exchange.ReleaseBody()
	if h := i.cfg.HeaderCodec.Answer(&resp.Header); resp.SelfDelimited() {
		req.exchange.Reply(h, body)
	} else {
		req.exchange.ReplyUntilClose(h, body)
	}
	return resultAnswered
}

// checkEnd returns an error if an answer that ended with its connection was cut off because the backend server went down.
func (i *Instance) checkEnd(ctx context.Context, g *Grant) error {
	if i.client.IsDown(ctx, g.Server) {
		return eris.Wrap(http1.ErrDisconnected, "backend server went down in an answer without framing")
	}
	return nil
}

// retryFailedAnswer tries another backend server after one responded with a server error. When that fails too and nothing was
// sent to the HTTP client, it gets the first response.
func (i *Instance) retryFailedAnswer(ctx context.Context, req *request) attemptResult {
	i.metrics.retries.Inc()
	i.logRetry(req)
	g, err := i.acquire(ctx, req)
	if err != nil {
		return resultFailed
	}
	i.recordPlacement(req, g)
	return i.attempt(ctx, req, g)
}
