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
	events := http1.NewEventReader(ctx, resp)
	o := placement.Outcome{Answered: true}
	var s streamProgress
	var comments []byte // Comments that arrived before the first event.
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) && !resp.SelfDelimited() {
			if down := i.checkEnd(ctx, g); down != nil {
				err = down
			}
		}
		switch {
		case errors.Is(err, io.EOF) && i.mayEndStream(req, resp, s.events):
			if len(comments) > 0 && !req.exchange.HeaderSent() {
				i.beginStream(req, resp)
				_ = req.exchange.Send(comments) // A closed connection is detected when the stream ends.
			}
			return i.completeStream(req, g, resp, o, sent, s)
		case err != nil:
			i.recordCut(ctx, req, g, s.events, err)
			return i.streamFailed(ctx, req, g, o, sent, s, err)
		}
		if ev.CommentOnly && !req.exchange.HeaderSent() {
			// Comments do not show that the request is being processed, so they do not start the answer.
			if comments = append(comments, ev.Raw...); len(comments) > maxCommentBytes {
				return i.streamFailed(ctx, req, g, o, sent, s, eris.Wrap(http1.ErrIncompleteResponse, "comments without an event"))
			}
			continue
		}
		if ev.CommentOnly {
			if err := req.exchange.Send(ev.Raw); err != nil {
				return i.callerGone(req, g, o, sent, s)
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
		s.latest, req.lastEventAt = now, now
		if s.events++; s.events == 1 {
			s.first = now
			o.FirstEvent = true
			i.duties.countRequest(req)
			i.scheduler.RecordFirstEvent(g, now.Sub(sent))
		}
		if interTokenSampleEvents[s.events] && g.Service.TokensPerEvent > 0 {
			i.scheduler.RecordInterToken(g, s.interToken(g.Service))
		}
		if s.events == soundEvents {
			i.recordSound(req)
		}
		stall.eventReceived(now)
		if !req.exchange.HeaderSent() {
			i.metrics.firstEvent.UpdateDuration(req.exchange.ReceivedAt)
			i.beginStream(req, resp)
		}
		if err := req.exchange.Send(append(comments, ev.Raw...)); err != nil {
			return i.callerGone(req, g, o, sent, s)
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
func (i *Instance) callerGone(req *request, g *Grant, o placement.Outcome, sent time.Time, s streamProgress) attemptResult {
	req.reason = "caller has gone"
	i.recordAbandoned(req, g, sent, s)
	o.Abandoned = true
	i.scheduler.Finish(g, o)
	return resultCallerGone
}

// completeStream finishes a stream that the backend server has ended.
func (i *Instance) completeStream(
	req *request, g *Grant, resp *http1.Response, o placement.Outcome, sent time.Time, s streamProgress,
) attemptResult {
	if !req.exchange.HeaderSent() {
		i.beginStream(req, resp)
	}
	req.exchange.End()
	req.reason = "answered"
	if resp.SelfDelimited() {
		i.recordSound(req)
	}
	if s.events > 1 {
		i.durations.recordStream(time.Now(), req.route.Name, s.first.Sub(req.exchange.ReceivedAt), s.betweenEvents())
	}
	o.OK, o.Total = true, time.Since(sent)
	o.Output = s.events * g.Service.TokensPerEvent
	o.InterToken = s.interToken(g.Service)
	i.scheduler.Finish(g, o)
	i.recordSuccess(req, g, s.first.Sub(sent), o.InterToken)
	return resultAnswered
}

// streamFailed handles a stream that ended early.
func (i *Instance) streamFailed(
	ctx context.Context, req *request, g *Grant, o placement.Outcome, sent time.Time, s streamProgress, err error,
) attemptResult {
	req.reason = err.Error()
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, http1.ErrCallerGone):
		return i.callerGone(req, g, o, sent, s)
	case errors.Is(cause, errStopping):
		req.reason = cause.Error()
		o.Abandoned = true
		i.scheduler.Finish(g, o)
		return resultFailed
	case errors.Is(cause, errTimeout) || !time.Now().Before(req.job.Deadline):
		o.Abandoned = true
		i.scheduler.Finish(g, o)
		i.recordFailure(req, g, false)
		return resultFailed
	}
	o.Answered = false
	i.scheduler.Finish(g, o)
	i.recordFailure(req, g, isCut(ctx, err))
	return resultRetry
}
