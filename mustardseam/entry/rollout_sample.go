package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
)

const (
	// sampleUnit converts the units of a hub.Sample to durations: a hundredth of a millisecond for InterToken. FirstEventRatio
	// is mapped to a duration by the same factor because the version comparison works on durations.
	sampleUnit = 10 * time.Microsecond
	// slowFirstEventFactor is the factor on the usual time to the first event from which a request without one is slow.
	slowFirstEventFactor = 3
)

// recordSuccess queues a successful outcome of a request for the next report.
func (i *Instance) recordSuccess(req *request, g *Grant, first, interToken time.Duration) {
	if !i.inRollout(req) && !i.reporter.baselineDue(time.Now(), req.service) {
		return
	}
	s := hub.Sample{OK: true, InterToken: float64(interToken) / float64(sampleUnit)}
	if idle := i.scheduler.PredictIdleFirstEvent(g); idle > 0 {
		s.FirstEventRatio = 100 * float64(first) / float64(idle)
	}
	i.addSample(req, g, s)
}

// recordFailure queues a failed outcome of a request; cut says that the backend server ended the connection.
func (i *Instance) recordFailure(req *request, g *Grant, cut bool) {
	var s hub.Sample
	if cut {
		s.Cut = g.Server.Incarnation()
	}
	i.addSample(req, g, s)
}

// recordAbandoned queues what is known of a request whose caller left before its end. A request without an event counts only
// if it has already waited so long that its backend server is slow, since callers that leave early say nothing about it.
func (i *Instance) recordAbandoned(req *request, g *Grant, sent time.Time, s streamProgress) {
	if s.events >= soundEvents {
		i.recordSuccess(req, g, s.first.Sub(sent), s.interToken(g.Service))
		return
	}
	waited := time.Since(sent)
	if idle := i.scheduler.PredictIdleFirstEvent(g); s.events == 0 && idle > 0 && waited >= slowFirstEventFactor*idle {
		i.recordSuccess(req, g, waited, 0)
	}
}

// addSample queues an outcome for the next report. Outside of rollouts, only some are recorded, to know the usual latencies.
func (i *Instance) addSample(req *request, g *Grant, s hub.Sample) {
	s.Service, s.Route, s.Version = req.service, req.route.Name, g.Server.Version
	if !i.inRollout(req) {
		i.reporter.addBaselineSample(time.Now(), s)
		return
	}
	req.sample = &s
	i.reporter.addSample(s)
}

// inRollout reports whether a rollout of the service of a request is in progress.
func (i *Instance) inRollout(req *request) bool {
	v := i.view.Load()
	r, ordered := v.Rollouts[req.service]
	p := v.Progress[req.service]
	return ordered && (!p.BelongsTo(r) || p.State == fleet.InProgress)
}
