package entry

import (
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/place"
)

// contain runs a task and keeps a panic in it from ending the process, which serves many other requests. It reports whether
// the task ended without one.
func (i *Instance) contain(task string, f func()) bool {
	caught := panics.Try(f)
	if caught == nil {
		return true
	}
	i.metrics.panics.Inc()
	event.Contained.On(i.log()).Str("task", task).Str("error", caught.String()).Send()
	return false
}

// abandon ends a request whose handling panicked: what it held is given back, and its caller gets an end that does not say
// that the request was not run.
func (i *Instance) abandon(a *attempt) {
	if a.grant != nil {
		i.scheduler.Finish(a.grant, place.Outcome{Left: true})
		a.grant = nil
	}
	a.reason = "unexpected error"
	if a.exchange.Started() {
		a.exchange.Abort()
		return
	}
	i.reply(a, fasthttp.StatusBadGateway, a.reason)
}
