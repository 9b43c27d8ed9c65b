package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/conduct"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
	"github.com/mustardseam/mustardseam/mustardseam/store"
)

const (
	// conductEvery is how often rollouts are looked at; a bad version must be taken back within seconds.
	conductEvery = 200 * time.Millisecond
	// progressTime bounds the writing of a rollout's progress.
	progressTime = time.Second
	// hundredth turns a ratio into the duration that the judge of versions compares.
	hundredth = 10 * time.Microsecond
)

// rollouts drives the rollouts while this instance is the hub.
type rollouts struct {
	i          *Instance
	mu         sync.Mutex
	conductors map[string]*conduct.Conductor // By service; guarded by mu.
}

// run looks at the rollouts until the instance ends.
func (r *rollouts) run() {
	for r.i.ctx.Err() == nil {
		r.i.sleep(conductEvery)
		if !r.i.gossip.leads() {
			continue
		}
		v := r.i.view.Load()
		for service, order := range v.Rollouts {
			r.i.contain("rollout", func() { r.step(v, service, order) })
		}
	}
}

// step writes the progress of a rollout when it changes.
func (r *rollouts) step(v *fleet.View, service string, order fleet.Rollout) {
	now := time.Now()
	facts := conduct.Facts{OnOld: r.i.scheduler.onOld(v, service, order.Target)}
	for _, s := range v.Of(service) {
		if s.Version == order.Target && !s.Draining {
			facts.Targets++
		}
	}
	r.mu.Lock()
	p, changed := r.conductor(service).Next(now, order, v.Progress[service], facts)
	r.mu.Unlock()
	if !changed {
		return
	}
	if err := r.write(service, p); err != nil {
		event.StoreRefused.On(r.i.log()).Str("service", service).Err(err).Send()
		return
	}
	event.RolloutStep.On(r.i.log()).Str("service", service).Str("target", p.Target).Str("state", string(p.State)).
		Int("percent", int(100*p.Share)).Int64("order", p.Order).Int("on-old", facts.OnOld).Send()
}

// write puts the progress into the store unless another instance has changed it.
func (r *rollouts) write(service string, p fleet.Progress) error {
	key, value, err := r.i.cfg.Codec.Progress(service, p)
	if err != nil {
		return err
	}
	return r.i.writeUnchanged(key, value, progressTime)
}

// writeUnchanged puts an item into the store within a time unless another instance has changed it.
func (i *Instance) writeUnchanged(key string, value []byte, limit time.Duration) error {
	old, _ := i.follower.Item(key)
	ctx, cancel := context.WithTimeout(i.ctx, limit)
	defer cancel()
	err := i.follower.Put(ctx, key, value, old.Revision)
	if errors.Is(err, store.ErrConflict) {
		// Another instance was faster, or an answer was lost: its state arrives with the next changes.
		return nil
	}
	return err
}

// conductor returns the conductor of a service; mu is held.
func (r *rollouts) conductor(service string) *conduct.Conductor {
	c := r.conductors[service]
	if c == nil {
		c = conduct.New(r.i.bounds.Load().ExposedShare)
		r.conductors[service] = c
	}
	return c
}

// observe takes in outcomes of requests.
func (r *rollouts) observe(samples []hub.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, s := range samples {
		r.conductor(s.Service).Observe(now, s.Route, rollout.Sample{
			Version: s.Version, OK: s.OK, First: time.Duration(s.First * float64(hundredth)),
			Between: time.Duration(s.Pace * float64(hundredth)),
		})
	}
}

// sample records the outcome of a request to a service with a rollout.
func (i *Instance) sample(a *attempt, g *Grant, ok bool, first, pace time.Duration) {
	v := i.view.Load()
	r, ordered := v.Rollouts[a.service]
	if !ordered {
		return
	}
	if p := v.Progress[a.service]; p.Order == r.Revision && p.State != fleet.InProgress {
		return
	}
	s := hub.Sample{Service: a.service, Route: a.route.Name, Version: g.Server.Version, OK: ok}
	if usual := i.scheduler.Usual(g); usual > 0 && ok {
		s.First = 100 * float64(first) / float64(usual)
	}
	if pace > 0 {
		s.Pace = float64(pace) / float64(hundredth)
	}
	i.gossip.sampled(s)
}
