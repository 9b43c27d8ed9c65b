package entry

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/http1"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

// paceAfter lists the numbers of events after which the pace of a stream is taken in, since a long one ends too late to
// tell others that its backend server is slow.
var paceAfter = map[int]bool{3: true, 6: true, 12: true, 24: true, 48: true, 96: true, 192: true}

// stream hands on the events of an answer. Where the request was sent before, the events go on after the last one that
// the caller has.
func (i *Instance) stream(ctx context.Context, a *attempt, g *Grant, resp *http1.Response, sent time.Time, w *watch) fate {
	a.runs++
	events := http1.NewEvents(resp)
	o := place.Outcome{Answered: true}
	var first, latest time.Time
	n := 0
	for {
		raw, id, err := events.Next()
		switch {
		case errors.Is(err, io.EOF) && (n > 0 || resp.Framed()):
			return i.complete(a, g, resp, o, sent, first, latest, n)
		case err != nil:
			return i.broken(ctx, a, g, o, err)
		}
		if number, err := strconv.ParseInt(id, 10, 64); err == nil {
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
			a.status = resp.Header.StatusCode()
			i.metrics.first.UpdateDuration(a.exchange.Arrived)
			a.exchange.Begin(i.cfg.Wire.Answer(&resp.Header))
		}
		if err := a.exchange.Send(raw); err != nil {
			a.reason = "caller has gone"
			o.Left = true
			i.scheduler.Finish(g, o)
			return left
		}
		if id != "" {
			a.last = id
		}
	}
}

// complete ends a stream that the backend server ended.
func (i *Instance) complete(a *attempt, g *Grant, resp *http1.Response, o place.Outcome, sent, first, latest time.Time, n int) fate {
	if !a.exchange.Started() {
		a.status = resp.Header.StatusCode()
		a.exchange.Begin(i.cfg.Wire.Answer(&resp.Header))
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
		o.Left = true
		i.scheduler.Finish(g, o)
		a.reason = "caller has gone"
		return left
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
