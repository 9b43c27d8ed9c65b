package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/event"
)

// logDone writes the outcome of a request with what decided it.
func (i *Instance) logDone(a *attempt) {
	route, team := "", ""
	if a.route != nil {
		route = a.route.Name
	}
	if a.team != nil {
		team = a.team.Name
	}
	event.Answered.On(i.log()).Str("request", a.meta.ID).Str("route", route).Str("team", team).Str("server", a.server).
		Str("placed-by", a.by).Int("status", a.status).
		Str("reason", a.reason).Int("sends", a.sends).Int("runs", a.runs).Str("last-event", a.last).
		Int64("wait-ms", a.waited.Milliseconds()).Int64("expected-ms", a.expected.Milliseconds()).
		Int("load", a.load.Requests).Int("load-prompt", a.load.Prompt).Int("prompt", a.meta.Prompt).Int("output", a.meta.Output).
		Int64("first-ms", a.first.Milliseconds()).
		Int64("pause-ms", a.pause.Milliseconds()).
		Int64("ms", time.Since(a.exchange.Arrived).Milliseconds()).Int64("revision", a.view.Revision).
		Int64("store-age-ms", i.storeAge()).Send()
}

// logRetry writes that a request goes to another backend server.
func (i *Instance) logRetry(a *attempt) {
	event.Retried.On(i.log()).Str("request", a.meta.ID).Str("server", a.server).Str("reason", a.reason).
		Int("sends", a.sends).Int("runs", a.runs).Str("last-event", a.last).Send()
}

// storeAge returns the age of the copy of the store in milliseconds, -1 before the first one.
func (i *Instance) storeAge() int64 {
	age, ok := i.follower.Age(time.Now())
	if !ok {
		return -1
	}
	return age.Milliseconds()
}

// outOfDate reports whether the copy of the store may miss changes.
func (i *Instance) outOfDate(now time.Time) bool {
	age, ok := i.follower.Age(now)
	return !ok || age > relayAge
}
