package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/autoscale"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
)

// demandLifetime is how long the demand in the hub's latest answer is used. The longest interval between reports is 1 s.
const demandLifetime = 1500 * time.Millisecond

// clusterDemand is the demand over all instances as one hub knows it.
type clusterDemand struct {
	hubRun   int64 // Run of the hub, from whose start the counts go; 0 when the demand is not known.
	services map[string]hub.Demand
}

// clusterDemand returns the demand over all instances.
func (r *reporter) clusterDemand(now time.Time) clusterDemand {
	own := r.i.demand.snapshot()
	if r.isHub() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.aggregator.AddOwnDemand(own)
		return clusterDemand{hubRun: r.i.runID, services: r.aggregator.Demand(now)}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hubName == "" || now.Sub(r.lastHubReply) > demandLifetime {
		return clusterDemand{}
	}
	return clusterDemand{hubRun: r.hubRunID, services: r.hubDemand}
}

// observeService returns what is known of a service, without its demand.
func (i *Instance) observeService(now time.Time, v *fleet.View, svc *fleet.Service) autoscale.Observation {
	o := autoscale.Observation{
		ListKnown: !i.storeOutdated(now) && i.follower.Held() == 0, OutOfService: slices.Sorted(maps.Keys(v.OutOfService)),
	}
	var lapsed bool
	o.Servers, lapsed = i.scheduler.serverStates(now, v, svc)
	o.ListKnown = o.ListKnown && !lapsed
	return o
}

// serverStates returns the states of the backend servers of a service, and whether the entry of one has lapsed.
func (s *Scheduler) serverStates(now time.Time, v *fleet.View, svc *fleet.Service) (states []autoscale.Server, lapsed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range v.ServersOf(svc.Name) {
		lapsed = lapsed || !srv.Lapsed.IsZero()
		states = append(states, autoscale.Server{
			DataCentre: srv.DataCentre, Slots: srv.Slots, Running: s.board.Load(srv).Requests, UnitMS: s.board.UnitMS(svc, srv),
			Cold: srv.Cold(now), Crashed: s.board.Avoided(now, srv), Draining: srv.Draining,
		})
	}
	return states, lapsed
}
