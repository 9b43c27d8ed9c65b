package entry

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/http1"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// interTokenSampleEvents holds the event counts after which the inter-token latency of a stream is recorded. The end of a
// long stream would come too late to show that its backend server is slow.
var interTokenSampleEvents = map[int]bool{3: true, 6: true, 12: true, 24: true, 48: true, 96: true, 192: true}

// maxCommentBytes bounds the comments before the first event, which are held back until it arrives.
const maxCommentBytes = 4 << 10

// forwardStream forwards the events of an answer. If an earlier attempt has sent events to the caller, it continues after
// the last of them.
func (i *Instance) forwardStream(
	ctx context.Context, req *request, g *Grant, resp *http1.Response, sent time.Time, stall *stallTimer,
) attemptResult {
	req.runs++
	events := http1.NewEventReader(resp)
	o := placement.Outcome{Answered: true}
	var first, latest time.Time
	var comments []byte // Comments that arrived before the first event.
	n := 0
	for {
		ev, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) && i.mayEndStream(req, resp, n):
			if len(comments) > 0 && !req.exchange.HeaderSent() {
				i.beginStream(req, resp)
				_ = req.exchange.Send(comments) // A closed connection is detected when the stream ends.
			}
			return i.completeStream(req, g, resp, o, sent, first, latest, n)
		case err != nil:
			i.recordCut(ctx, req, g, n, err)
			return i.streamFailed(ctx, req, g, o, err)
		}
		if ev.CommentOnly && !req.exchange.HeaderSent() {
			// Comments do not show that the request is being processed, so they do not start the answer.
			if comments = append(comments, ev.Raw...); len(comments) > maxCommentBytes {
				return i.streamFailed(ctx, req, g, o, eris.Wrap(http1.ErrIncompleteResponse, "comments without an event"))
			}
			continue
		}
		if ev.CommentOnly {
			if err := req.exchange.Send(ev.Raw); err != nil {
				return i.callerGone(req, g, o)
			}
			continue
		}
		if number, err := strconv.ParseInt(ev.ID, 10, 64); err == nil {
			if done, err := strconv.ParseInt(req.lastEventID, 10, 64); err == nil && number <= done {
				continue
			}
		}
		now := time.Now()
		if req.exchange.HeaderSent() {
			req.longestPause = max(req.longestPause, now.Sub(req.lastEventAt))
		} else {
			req.timeToFirstEvent = now.Sub(req.exchange.ReceivedAt)
		}
		latest, req.lastEventAt = now, now
		if n++; n == 1 {
			first = latest
			o.FirstEvent = true
			i.scheduler.RecordFirstEvent(g, first.Sub(sent))
		}
		if interTokenSampleEvents[n] && g.Service.TokensPerEvent > 0 {
			i.scheduler.RecordInterToken(g, latest.Sub(first)/time.Duration((n-1)*g.Service.TokensPerEvent))
		}
		if n == soundEvents {
			i.recordSound(req)
		}
		stall.eventReceived(latest)
		if !req.exchange.HeaderSent() {
			i.metrics.firstEvent.UpdateDuration(req.exchange.ReceivedAt)
			i.beginStream(req, resp)
		}
		if err := req.exchange.Send(append(comments, ev.Raw...)); err != nil {
			return i.callerGone(req, g, o)
		}
		comments = nil
		if ev.ID != "" {
			req.lastEventID = ev.ID
		}
	}
}

// beginStream sends the header of a stream to the caller.
func (i *Instance) beginStream(req *request, resp *http1.Response) {
	req.status = resp.Header.StatusCode()
	req.exchange.Begin(i.cfg.HeaderCodec.Answer(&resp.Header), resp.SelfDelimited())
}

// mayEndStream reports whether the end of the connection after n events may be the regular end of a stream. A stream without
// framing may have been cut off; if its caller expects framing, it must not get an end mark that says it is complete.
func (i *Instance) mayEndStream(req *request, resp *http1.Response, n int) bool {
	return resp.SelfDelimited() || n > 0 && (!req.exchange.HeaderSent() || !req.exchange.SelfDelimited())
}

// callerGone ends a stream whose caller has closed the connection.
func (i *Instance) callerGone(req *request, g *Grant, o placement.Outcome) attemptResult {
	req.reason = "caller has gone"
	o.Abandoned = true
	i.scheduler.Finish(g, o)
	return resultCallerGone
}

// completeStream finishes a stream that the backend server has ended.
func (i *Instance) completeStream(
	req *request, g *Grant, resp *http1.Response, o placement.Outcome, sent, first, latest time.Time, n int,
) attemptResult {
	if !req.exchange.HeaderSent() {
		i.beginStream(req, resp)
	}
	req.exchange.End()
	req.reason = "answered"
	if resp.SelfDelimited() {
		i.recordSound(req)
	}
	o.OK, o.Total = true, time.Since(sent)
	o.Output = n * g.Service.TokensPerEvent
	if n > 1 && g.Service.TokensPerEvent > 0 {
		o.InterToken = latest.Sub(first) / time.Duration((n-1)*g.Service.TokensPerEvent)
	}
	i.scheduler.Finish(g, o)
	i.recordSuccess(req, g, first.Sub(sent), o.InterToken)
	return resultAnswered
}

// streamFailed handles a stream that ended early.
func (i *Instance) streamFailed(ctx context.Context, req *request, g *Grant, o placement.Outcome, err error) attemptResult {
	req.reason = err.Error()
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, http1.ErrCallerGone):
		return i.callerGone(req, g, o)
	case errors.Is(cause, errTimeout) || !time.Now().Before(req.job.Deadline):
		o.Abandoned = true
		i.scheduler.Finish(g, o)
		return resultFailed
	}
	o.Answered = false
	i.scheduler.Finish(g, o)
	i.recordFailure(req, g, isCut(ctx, err))
	return resultRetry
}
