package entry

import (
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// recoverPanics runs a task and recovers from a panic in it, so that the process and the other requests it serves continue. It
// reports whether the task completed without one.
func (i *Instance) recoverPanics(task string, f func()) bool {
	caught := panics.Try(f)
	if caught == nil {
		return true
	}
	i.metrics.panics.Inc()
	event.PanicContained.Log(i.log()).Str("task", task).Str("error", caught.String()).Send()
	return false
}

// abortPanicked ends a request whose handler panicked: it releases the grant and ends the answer in a way that does not
// claim that the request was not run.
func (i *Instance) abortPanicked(req *request) {
	if req.grant != nil {
		i.scheduler.Finish(req.grant, placement.Outcome{Abandoned: true})
		req.grant = nil
	}
	req.reason = "unexpected error"
	if req.exchange.HeaderSent() {
		req.exchange.Abort()
		return
	}
	i.reply(req, fasthttp.StatusBadGateway, req.reason)
}
