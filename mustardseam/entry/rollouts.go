package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/canary"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
	"github.com/mustardseam/mustardseam/mustardseam/store"
)

const (
	// rolloutInterval is how often rollouts are checked; a bad version must be rolled back within seconds.
	rolloutInterval = 200 * time.Millisecond
	// progressTimeout bounds a write of a rollout's progress.
	progressTimeout = time.Second
	// evidenceLogInterval is how often the evidence about a version is logged.
	evidenceLogInterval = time.Second
)

// rollouts advances the rollouts while this instance is the hub.
type rollouts struct {
	i           *Instance
	mu          sync.Mutex
	controllers map[string]*canary.Controller // Keyed by service; guarded by mu.
	logged      map[string]time.Time          // When the evidence of a service was last logged; used by run only.
}

// run checks the rollouts until the instance stops.
func (r *rollouts) run() {
	for r.i.ctx.Err() == nil {
		r.i.sleep(rolloutInterval)
		if !r.i.reporter.isHub() {
			continue
		}
		for service := range r.i.view.Load().Rollouts {
			r.i.recoverPanics("rollout", func() { r.step(service) })
		}
	}
}

// step advances a rollout and writes its progress to the store when it changes.
func (r *rollouts) step(service string) {
	key, _, err := r.i.cfg.StoreCodec.Progress(service, fleet.Progress{})
	if err != nil {
		return
	}
	// The position is read before the view, which is never older: the decision then replaces no progress that it does not know.
	_, expect, _ := r.i.follower.Item(key)
	now, v := time.Now(), r.i.view.Load()
	order, ordered := v.Rollouts[service]
	if !ordered {
		return
	}
	var state canary.FleetState
	state.NewVersionRequests, state.OldVersionRequests = r.i.scheduler.requestsByVersion(v, service, order.Target)
	for _, s := range v.ServersOf(service) {
		switch {
		case s.Draining:
		case s.Version == order.Target:
			state.ReadyServers++
		default:
			state.OldReadyServers++
		}
	}
	r.mu.Lock()
	p, changed := r.controller(service).Next(now, order, v.Progress[service], state)
	evidence := r.controller(service).Evidence(now)
	r.mu.Unlock()
	if changed || p.State == fleet.InProgress && now.Sub(r.logged[service]) >= evidenceLogInterval {
		r.logged[service] = now
		r.logEvidence(service, p.Target, evidence)
	}
	if !changed {
		r.restoreProgress(service, p)
		return
	}
	if err := r.writeProgress(service, p, expect); err != nil {
		event.StoreWriteFailed.Log(r.i.log()).Str("service", service).Err(err).Send()
		return
	}
	event.RolloutStep.Log(r.i.log()).Str("service", service).Str("target", p.Target).Str("state", string(p.State)).
		Int("percent", int(100*p.Share)).Int64("order", p.Order).Int("on-old", state.OldVersionRequests).Send()
}

// logEvidence logs what the decisions on a rollout depend on.
func (r *rollouts) logEvidence(service, target string, e canary.Evidence) {
	event.RolloutEvidence.Log(r.i.log()).Str("service", service).Str("target", target).Str("decision", string(e.Decision)).
		Int("samples", e.Samples).Int("slow", e.Slow).Int("failures", e.Failures).Int("control", e.Control).Float64("against", e.Against).
		Str("route", e.WorstRoute).Float64("route-against", e.RouteAgainst).Float64("failure", e.Failure).
		Float64("first-event", e.FirstEvent).Float64("inter-token", e.InterToken).
		Float64("first-event-shift", e.FirstEventShift).Float64("inter-token-shift", e.InterTokenShift).Send()
}

// restoreProgress writes the progress again if the store has lost it.
func (r *rollouts) restoreProgress(service string, p fleet.Progress) {
	key, _, err := r.i.cfg.StoreCodec.Progress(service, p)
	if err != nil {
		return
	}
	_, expect, saved := r.i.follower.Item(key)
	if saved {
		return
	}
	if err := r.writeProgress(service, p, expect); err != nil {
		event.StoreWriteFailed.Log(r.i.log()).Str("service", service).Err(err).Send()
	}
}

// writeProgress writes the progress to the store unless it has changed since it was at a position.
func (r *rollouts) writeProgress(service string, p fleet.Progress, expect store.Position) error {
	key, value, err := r.i.cfg.StoreCodec.Progress(service, p)
	if err != nil {
		return err
	}
	return r.i.writeAt(key, value, expect, progressTimeout)
}

// writeUnchanged writes an item to the store unless another instance has changed it; timeout bounds the write.
func (i *Instance) writeUnchanged(key string, value []byte, timeout time.Duration) error {
	_, expect, _ := i.follower.Item(key)
	return i.writeAt(key, value, expect, timeout)
}

// writeAt writes an item to the store unless it has changed since it was at a position; timeout bounds the write.
func (i *Instance) writeAt(key string, value []byte, expect store.Position, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(i.ctx, timeout)
	defer cancel()
	err := i.follower.Put(ctx, key, value, expect)
	if errors.Is(err, store.ErrConflict) {
		// Another instance wrote first, or an earlier answer was lost; the current state arrives with the next store changes.
		return nil
	}
	return err
}

// controller returns the controller of a service, which it creates if necessary; mu must be held.
func (r *rollouts) controller(service string) *canary.Controller {
	c := r.controllers[service]
	if c == nil {
		c = canary.New(r.i.bounds.Load().Canary)
		r.controllers[service] = c
	}
	return c
}

// addSamples records outcomes of requests.
func (r *rollouts) addSamples(samples []hub.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, v := time.Now(), r.i.view.Load()
	for _, s := range samples {
		c := r.controller(s.Service)
		if order, ordered := v.Rollouts[s.Service]; ordered {
			c.Begin(order, v.Progress[s.Service])
		}
		if s.Cut != (fleet.Incarnation{}) {
			c.ObserveCut(now, s.Route, s.Version, s.Cut)
			continue
		}
		c.Observe(now, s.Route, rollout.Sample{
			Version: s.Version, OK: s.OK, FirstToken: time.Duration(s.FirstEventRatio * float64(sampleUnit)),
			InterToken: time.Duration(s.InterToken * float64(sampleUnit)),
		})
	}
}
