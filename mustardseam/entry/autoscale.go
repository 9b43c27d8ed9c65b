package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/autoscale"
	"github.com/mustardseam/mustardseam/mustardseam/duty"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
)

const (
	// autoscaleInterval is how often the numbers of backend servers are decided on.
	autoscaleInterval = time.Second
	// maxScaleCalls bounds the orders that are in progress. At 50 calls a second from all instances together, it leaves
	// room for the calls of the other duties.
	maxScaleCalls = 16
)

// autoscaler decides how many backend servers the services need. Each instance decides, so that a new holder of the duty
// knows the recent load; only the holder sends orders.
type autoscaler struct {
	cfg     autoscalerConfig
	metrics *scaleMetrics

	// mu guards the fields below.
	mu       sync.Mutex
	services map[string]*scaledService
	calls    int // Orders in progress.
}

// autoscalerConfig holds the dependencies of an autoscaler.
type autoscalerConfig struct {
	instance *Instance
	right    func(now time.Time) (duty.Right, bool) // Permission to send orders.
	// order sends an order if this instance may, with the permission at that time.
	order func(service string, o autoscale.Order) error
}

// scaledService is the state of a service whose number of backend servers is decided on.
type scaledService struct {
	history  *autoscale.History
	token    int64 // Fencing token of the current term of this instance; 0 when it does not hold the duty.
	hubRun   int64 // Run of the hub that counted demand; 0 when it is not known.
	demand   hub.Demand
	decision autoscale.Decision
	calls    map[string]bool // Data centres with an order in progress.
	last     *ScaleOrder
}

// newAutoscaler returns an autoscaler, or nil if the duty is not to be performed.
func newAutoscaler(i *Instance) *autoscaler {
	if !i.cfg.Duties.Has(AutoscaleDuty) || i.cfg.Duties.ScaleOrderer == nil {
		return nil
	}
	return &autoscaler{
		cfg: autoscalerConfig{
			instance: i, right: func(now time.Time) (duty.Right, bool) { return i.dutyRight(now, AutoscaleDuty) },
			order: i.sendScaleOrder,
		},
		metrics: newScaleMetrics(i.metrics.set), services: map[string]*scaledService{},
	}
}

// run decides until the instance stops.
func (a *autoscaler) run() {
	i := a.cfg.instance
	ticker := time.NewTicker(autoscaleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-i.ctx.Done():
			return
		case <-ticker.C:
		}
		i.recoverPanics("autoscale", func() {
			now := time.Now()
			v := i.view.Load()
			if v.Config == nil {
				return
			}
			demand := i.reporter.clusterDemand(now)
			for n := range v.Config.Services {
				if svc := &v.Config.Services[n]; svc.Autoscale.Enabled() {
					a.step(now, svc, i.observeService(now, v, svc), demand)
				}
			}
		})
	}
}

// step decides on a service and sends the orders that are due if this instance holds the duty.
func (a *autoscaler) step(now time.Time, svc *fleet.Service, o autoscale.Observation, demand clusterDemand) {
	cfg := autoscale.Config{
		Min: svc.Autoscale.Min, Max: svc.Autoscale.Max, Boot: svc.Autoscale.Boot, Cold: svc.ColdDuration,
	}
	right, held := a.cfg.right(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[svc.Name]
	if s == nil {
		s = &scaledService{history: autoscale.NewHistory(), calls: map[string]bool{}}
		a.services[svc.Name] = s
	}
	switch {
	case !held:
		s.token = 0
	case s.token != right.Token:
		s.token = right.Token
		s.history.BeginTerm()
	}
	s.addDemand(&o, svc.Name, demand)
	old := s.decision
	s.decision = autoscale.Decide(cfg, now, o, s.history)
	a.metrics.record(svc.Name, s.decision, held)
	if !held {
		return
	}
	if s.decision.Reason != old.Reason {
		a.logDecision(svc.Name, s.decision)
	}
	for _, order := range s.history.Orders(cfg, now, s.decision) {
		if a.calls >= maxScaleCalls {
			return // The others are still due at the next decision.
		}
		if s.calls[order.DataCentre] {
			continue
		}
		s.calls[order.DataCentre] = true
		a.calls++
		s.history.Sent(now, order)
		s.last = &ScaleOrder{
			DataCentre: order.DataCentre, Desired: order.Desired, Cause: string(order.Cause), Reason: string(s.decision.Reason),
			AtMS: now.UnixMilli(),
		}
		a.metrics.countOrder(order)
		a.logOrder(svc.Name, right, order, s.decision)
		a.cfg.instance.tasks.Go(func() { a.send(s, svc.Name, right.Token, order) })
	}
}

// addDemand sets the demand of an observation to what was counted since the previous one.
func (s *scaledService) addDemand(o *autoscale.Observation, service string, demand clusterDemand) {
	total := demand.services[service]
	if demand.hubRun != 0 && demand.hubRun == s.hubRun {
		o.DemandKnown = true
		o.Arrived, o.Refused = total.Arrived-s.demand.Arrived, total.Refused-s.demand.Refused
		o.Work, o.Waiting = total.Work-s.demand.Work, max(0, total.Waiting)
	}
	s.hubRun, s.demand = demand.hubRun, total
}

// send sends an order and records its outcome. An order without an answer is due again at a later decision.
func (a *autoscaler) send(s *scaledService, service string, token int64, order autoscale.Order) {
	err := errors.New("order was not sent")
	a.cfg.instance.recoverPanics("scale order", func() { err = a.cfg.order(service, order) })
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls--
	delete(s.calls, order.DataCentre)
	if s.token != token {
		return // The term in which the order was sent is over.
	}
	if err == nil {
		s.history.Answered(order)
	}
	s.last.setOutcome(order, err)
}

// sendScaleOrder sends an order while this instance may act on the duty.
func (i *Instance) sendScaleOrder(service string, o autoscale.Order) error {
	return i.callDuty(AutoscaleDuty, func(ctx context.Context, right duty.Right) error {
		return i.cfg.Duties.ScaleOrderer.OrderScale(ctx, right.Holder, right.Token, service, o.DataCentre, o.Desired)
	})
}

// logDecision logs that the reason of the decision on a service changed.
func (a *autoscaler) logDecision(service string, d autoscale.Decision) {
	event.ScaleDecision.Log(a.cfg.instance.log()).Str("service", service).Str("reason", string(d.Reason)).
		Int("in-force", d.InForce).Int("desired", d.Total()).Int("needed", d.Needed).Float64("load", d.Load).
		Float64("full", d.Full).Int("period", d.Period).Send()
}

// logOrder logs an order that is sent.
func (a *autoscaler) logOrder(service string, right duty.Right, o autoscale.Order, d autoscale.Decision) {
	event.ScaleOrdered.Log(a.cfg.instance.log()).Str("service", service).Str("data-centre", o.DataCentre).
		Int("desired", o.Desired).Str("cause", string(o.Cause)).Str("reason", string(d.Reason)).
		Int64("token", right.Token).Float64("load", d.Load).Float64("full", d.Full).Send()
}
