package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/event"
)

// logRequest logs the outcome of a request and what it depended on.
func (i *Instance) logRequest(req *request) {
	route, team := "", ""
	if req.route != nil {
		route = req.route.Name
	}
	if req.team != nil {
		team = req.team.Name
	}
	l := event.RequestEnded.Log(i.log())
	if req.serverLimit.Named {
		l.Float64("server-limit", req.serverLimit.PerSecond)
	}
	if req.grant != nil {
		l.Str("version", req.grant.Server.Version)
	}
	if s := req.sample; s != nil {
		outcome := "ok"
		if !s.OK {
			outcome = "failed"
		}
		l.Str("sample", outcome).Float64("first-ratio", s.FirstEventRatio/100).Float64("inter-token-us", 10*s.InterToken)
	}
	if req.accepted != refusedByStop {
		l.Int64("stop-ms", req.stopAge.Milliseconds()).Str("accepted", string(req.accepted))
	}
	l.Str("request", req.meta.ID).Str("route", route).Str("team", team).
		Str("server", req.serverID).Str("placed-by", req.hub).Int("status", req.status).
		Str("reason", req.reason).Int("sends", req.sends).Int("runs", req.runs).Str("last-event", req.lastEventID).
		Int64("wait-ms", req.placedAfter.Milliseconds()).Int64("expected-ms", req.predictedFirstEvent.Milliseconds()).
		Int("load", req.load.Requests).Int("load-prompt", req.load.PromptTokens).
		Int("kept", req.kept).
		Int("prompt", req.meta.PromptTokens).Int("output", req.meta.MaxOutputTokens).
		Int64("first-ms", req.timeToFirstEvent.Milliseconds()).
		Int64("pause-ms", req.longestPause.Milliseconds()).
		Int64("ms", time.Since(req.exchange.ReceivedAt).Milliseconds()).Int64("revision", req.view.Revision).
		Int64("store-age-ms", i.storeAge()).Send()
}

// logRetry logs that a request is sent to another backend server.
func (i *Instance) logRetry(req *request) {
	event.RequestRetried.Log(i.log()).Str("request", req.meta.ID).Str("server", req.serverID).Str("reason", req.reason).
		Int("sends", req.sends).Int("runs", req.runs).Str("last-event", req.lastEventID).Send()
}

// storeAge returns the age of the local copy of the store in milliseconds; -1 if there is no copy.
func (i *Instance) storeAge() int64 {
	age, ok := i.follower.SinceResponse(time.Now())
	if !ok {
		return -1
	}
	return age.Milliseconds()
}

// storeOutdated reports whether the local copy of the store may lack changes.
func (i *Instance) storeOutdated(now time.Time) bool {
	age, ok := i.follower.SinceResponse(now)
	return !ok || age > maxRelayedStoreAge
}
