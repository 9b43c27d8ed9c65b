package entry

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
)

// sampleUnit converts the units of a hub.Sample to durations: a hundredth of a millisecond for InterToken. FirstEventRatio
// is mapped to a duration by the same factor because the version comparison works on durations.
const sampleUnit = 10 * time.Microsecond

// recordSuccess queues a successful outcome of a request for the next report if a rollout of its service is in progress.
func (i *Instance) recordSuccess(req *request, g *Grant, first, interToken time.Duration) {
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

// addSample queues an outcome for the next report if a rollout of the service is in progress.
func (i *Instance) addSample(req *request, g *Grant, s hub.Sample) {
	v := i.view.Load()
	r, ordered := v.Rollouts[req.service]
	if !ordered {
		return
	}
	if p := v.Progress[req.service]; p.BelongsTo(r) && p.State != fleet.InProgress {
		return
	}
	s.Service, s.Route, s.Version = req.service, req.route.Name, g.Server.Version
	req.sample = &s
	i.reporter.addSample(s)
}
