package entry

import (
	"context"
	"errors"
	"maps"
	"sync"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// demandCounter counts the demand of this instance's callers for services whose numbers of backend servers are ordered. Its
// methods are safe for concurrent use.
type demandCounter struct {
	mu       sync.Mutex
	services map[string]hub.Demand
}

func newDemandCounter() *demandCounter { return &demandCounter{services: map[string]hub.Demand{}} }

// begin counts an attempt to place a request with an expected work.
func (c *demandCounter) begin(service string, work float64) {
	c.add(service, hub.Demand{Arrived: 1, Work: work, Waiting: 1})
}

// end counts the end of an attempt; err is its outcome.
func (c *demandCounter) end(service string, err error) {
	d := hub.Demand{Waiting: -1}
	var r *placement.Refusal
	if errors.As(err, &r) {
		d.Refused = 1
	}
	c.add(service, d)
}

func (c *demandCounter) add(service string, d hub.Demand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services[service] = c.services[service].Plus(d)
}

// snapshot returns the demand by service; nil if none was counted.
func (c *demandCounter) snapshot() map[string]hub.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.services) == 0 {
		return nil
	}
	return maps.Clone(c.services)
}

// acquireCounted is Scheduler.Acquire for a request. It counts the attempt if the number of backend servers of the service is
// ordered.
func (i *Instance) acquireCounted(ctx context.Context, req *request) (g *Grant, err error) {
	svc := i.scaledService(req)
	if svc == nil {
		return i.scheduler.Acquire(ctx, req.service, req.job)
	}
	i.demand.begin(svc.Name, i.scheduler.expectedWork(svc, req.job))
	defer func() { i.demand.end(svc.Name, err) }()
	return i.scheduler.Acquire(ctx, req.service, req.job)
}

// scaledService returns the service of a request if the number of its backend servers is ordered, otherwise nil.
func (i *Instance) scaledService(req *request) *fleet.Service {
	if i.autoscaler == nil || req.view.Config == nil {
		return nil
	}
	if svc := req.view.Config.Service(req.service); svc != nil && svc.Autoscale.Enabled() {
		return svc
	}
	return nil
}

// expectedWork returns the expected units of work of a job.
func (s *Scheduler) expectedWork(svc *fleet.Service, j *placement.Job) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.ExpectedWork(svc, j)
}
