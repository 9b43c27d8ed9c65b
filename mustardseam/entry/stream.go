package entry

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/http1"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

// paceAfter lists the numbers of events after which the pace of a stream is taken in, since a long one ends too late to
// tell others that its backend server is slow.
var paceAfter = map[int]bool{3: true, 6: true, 12: true, 24: true, 48: true, 96: true, 192: true}

// maxComments bounds the comments before the first event, in bytes, which are held until it comes.
const maxComments = 4 << 10

// stream hands on the events of an answer. Where the request was sent before, the events go on after the last one that
// the caller has.
func (i *Instance) stream(ctx context.Context, a *attempt, g *Grant, resp *http1.Response, sent time.Time, w *watch) fate {
	a.runs++
	events := http1.NewEvents(resp)
	o := place.Outcome{Answered: true}
	var first, latest time.Time
	var comments []byte // Before the first event.
	n := 0
	for {
		ev, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) && i.ends(a, resp, n):
			if len(comments) > 0 && !a.exchange.Started() {
				i.begin(a, resp)
				_ = a.exchange.Send(comments) // A caller that has gone shows at the end.
			}
			return i.complete(a, g, resp, o, sent, first, latest, n)
		case err != nil:
			return i.broken(ctx, a, g, o, err)
		}
		if ev.Comment && !a.exchange.Started() {
			// Comments are no sign that the request is worked on, so the answer does not begin with them.
			if comments = append(comments, ev.Raw...); len(comments) > maxComments {
				return i.broken(ctx, a, g, o, eris.Wrap(http1.ErrBroken, "comments without an event"))
			}
			continue
		}
		if ev.Comment {
			if err := a.exchange.Send(ev.Raw); err != nil {
				return i.gone(a, g, o)
			}
			continue
		}
		if number, err := strconv.ParseInt(ev.ID, 10, 64); err == nil {
			if done, err := strconv.ParseInt(a.last, 10, 64); err == nil && number <= done {
				continue
			}
		}
		now := time.Now()
		if a.exchange.Started() {
			a.pause = max(a.pause, now.Sub(a.event))
		} else {
			a.first = now.Sub(a.exchange.Arrived)
		}
		latest, a.event = now, now
		if n++; n == 1 {
			first = latest
			o.First = true
			i.scheduler.Began(g, first.Sub(sent))
		}
		if paceAfter[n] && g.Service.Stride > 0 {
			i.scheduler.Paced(g, latest.Sub(first)/time.Duration((n-1)*g.Service.Stride))
		}
		w.seen(latest)
		if !a.exchange.Started() {
			i.metrics.first.UpdateDuration(a.exchange.Arrived)
			i.begin(a, resp)
		}
		if err := a.exchange.Send(append(comments, ev.Raw...)); err != nil {
			return i.gone(a, g, o)
		}
		comments = nil
		if ev.ID != "" {
			a.last = ev.ID
		}
	}
}

// begin sends the header of a stream to the caller.
func (i *Instance) begin(a *attempt, resp *http1.Response) {
	a.status = resp.Header.StatusCode()
	a.exchange.Begin(i.cfg.Wire.Answer(&resp.Header), resp.Framed())
}

// ends reports whether the end of the connection may be the end of a stream of which n events came. A stream that does not
// tell where it ends may have been cut; its caller must not get an end that says it is complete.
func (i *Instance) ends(a *attempt, resp *http1.Response, n int) bool {
	return resp.Framed() || n > 0 && (!a.exchange.Started() || !a.exchange.Framed())
}

// gone ends a stream whose caller has left.
func (i *Instance) gone(a *attempt, g *Grant, o place.Outcome) fate {
	a.reason = "caller has gone"
	o.Left = true
	i.scheduler.Finish(g, o)
	return left
}

// complete ends a stream that the backend server ended.
func (i *Instance) complete(a *attempt, g *Grant, resp *http1.Response, o place.Outcome, sent, first, latest time.Time, n int) fate {
	if !a.exchange.Started() {
		i.begin(a, resp)
	}
	a.exchange.End()
	a.reason = "answered"
	o.OK, o.Total = true, time.Since(sent)
	o.Output = n * g.Service.Stride
	if n > 1 && g.Service.Stride > 0 {
		o.Pace = latest.Sub(first) / time.Duration((n-1)*g.Service.Stride)
	}
	i.scheduler.Finish(g, o)
	i.sample(a, g, true, first.Sub(sent), o.Pace)
	return answered
}

// broken judges a stream that ended early.
func (i *Instance) broken(ctx context.Context, a *attempt, g *Grant, o place.Outcome, err error) fate {
	a.reason = err.Error()
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, http1.ErrGone):
		return i.gone(a, g, o)
	case errors.Is(cause, errTimeout) || !time.Now().Before(a.job.Deadline):
		o.Left = true
		i.scheduler.Finish(g, o)
		return finished
	}
	o.Answered = false
	i.scheduler.Finish(g, o)
	i.sample(a, g, false, 0, 0)
	return again
}
