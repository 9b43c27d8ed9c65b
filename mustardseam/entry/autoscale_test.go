package entry

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/autoscale"
	"github.com/mustardseam/mustardseam/mustardseam/duty"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// testAutoscaler is an autoscaler of one service with 30 engines in each of two data centres, whose clock, right and platform
// the test sets.
type testAutoscaler struct {
	*autoscaler
	svc      fleet.Service
	now      time.Time
	token    int64 // 0 while the duty is not held.
	hubRun   int64
	demand   hub.Demand
	perS     int64 // Requests per second.
	listed   int   // Engines in each data centre.
	mu       sync.Mutex
	orders   []autoscale.Order
	result   error         // Outcome of orders.
	unblock  chan struct{} // Orders wait for it unless it is nil.
	instance *Instance
}

func newTestAutoscaler() *testAutoscaler {
	i := &Instance{logger: zerolog.Nop()}
	t := &testAutoscaler{
		svc: fleet.Service{
			Name: "pool", Engine: true, ColdDuration: 3 * time.Second,
			Autoscale: fleet.Autoscale{Min: 26, Max: 60, Boot: 8 * time.Second},
		},
		now: time.Unix(1000, 0), token: 1, hubRun: 1, perS: 200, listed: 30, instance: i,
	}
	t.autoscaler = &autoscaler{
		cfg: autoscalerConfig{
			instance: i,
			right: func(time.Time) (duty.Right, bool) {
				return duty.Right{Holder: "self", Token: t.token}, t.token != 0
			},
			order: func(_ string, o autoscale.Order) error {
				if t.unblock != nil {
					<-t.unblock
				}
				t.mu.Lock()
				defer t.mu.Unlock()
				t.orders = append(t.orders, o)
				return t.result
			},
		},
		metrics: newScaleMetrics(metrics.NewSet()), services: map[string]*scaledService{},
	}
	return t
}

// run makes a decision a second and waits for the orders, unless they are blocked.
func (t *testAutoscaler) run(seconds int) {
	for range seconds {
		t.now = t.now.Add(time.Second)
		t.demand = t.demand.Plus(hub.Demand{Arrived: t.perS, Work: float64(100 * t.perS)})
		o := autoscale.Observation{ListKnown: true}
		for _, dc := range []string{"a", "b"} {
			for range t.listed {
				// An engine does 400 units per second, all together 24,000, of which 200 requests per second take 20,000.
				o.Servers = append(o.Servers, autoscale.Server{DataCentre: dc, Slots: 4, Running: 3, UnitMS: 10})
			}
		}
		t.step(t.now, &t.svc, o, clusterDemand{hubRun: t.hubRun, services: map[string]hub.Demand{"pool": t.demand}})
		if t.unblock == nil {
			t.instance.tasks.Wait()
		}
	}
}

// TestOrdersNeedTheDuty guards against orders by an instance that does not hold the duty, and against a holder that starts
// without the load that it saw before.
func TestOrdersNeedTheDuty(t *testing.T) {
	a := newTestAutoscaler()
	a.token = 0
	a.run(20)
	a.perS = 400
	a.run(3)
	assert.Equal(t, len(a.orders), 0)
	assert.Equal(t, a.state()["pool"].Held, false)
	a.token = 7
	a.run(1)
	assert.Equal(t, len(a.orders), 2)
	assert.Assert(t, a.orders[0].Desired >= 40)
	s := a.state()["pool"]
	assert.Assert(t, s.Held && s.Last.Accepted && s.Last.Desired == a.orders[1].Desired)
}

// TestLostAnswerRepeatsOrder guards against an order that is lost, or that was refused for too many calls, and against one that
// is sent again after it was accepted.
func TestLostAnswerRepeatsOrder(t *testing.T) {
	for _, result := range []error{ErrRateLimited, errors.New("no answer")} {
		t.Run(result.Error(), func(t *testing.T) {
			a := newTestAutoscaler()
			a.run(20)
			a.perS, a.result = 400, result
			a.run(3)
			sent := len(a.orders)
			assert.Assert(t, sent >= 4, "%v", a.orders)
			assert.Assert(t, !a.state()["pool"].Last.Accepted)
			a.result = nil
			a.run(1)
			sent = len(a.orders)
			assert.Assert(t, a.state()["pool"].Last.Accepted)
			a.run(3)
			assert.Equal(t, len(a.orders), sent, "%v", a.orders)
		})
	}
}

// TestSlowPlatformGetsOneCall guards against calls that pile up at a platform that is slow to answer.
func TestSlowPlatformGetsOneCall(t *testing.T) {
	a := newTestAutoscaler()
	a.run(20)
	a.perS, a.unblock = 400, make(chan struct{})
	a.run(10)
	a.autoscaler.mu.Lock()
	calls := a.calls
	a.autoscaler.mu.Unlock()
	assert.Equal(t, calls, 2)
	close(a.unblock)
	a.instance.tasks.Wait()
	assert.Equal(t, len(a.orders), 2)
}

// TestAnswerOfAnEarlierTerm guards against an answer that counts for the order of another term.
func TestAnswerOfAnEarlierTerm(t *testing.T) {
	a := newTestAutoscaler()
	a.run(20)
	a.perS, a.unblock = 400, make(chan struct{})
	a.run(1)
	a.token = 0
	a.run(1)
	close(a.unblock)
	a.instance.tasks.Wait()
	assert.Assert(t, !a.state()["pool"].Last.Accepted)
}

// TestNewHubHidesDemand guards against a load that is taken from the counts of two hubs.
func TestNewHubHidesDemand(t *testing.T) {
	a := newTestAutoscaler()
	a.run(20)
	a.hubRun, a.demand = 2, hub.Demand{Arrived: 1_000_000, Work: 1e8}
	a.run(10)
	a.hubRun, a.demand = 0, hub.Demand{}
	a.run(2)
	a.hubRun = 3
	a.run(10)
	assert.Equal(t, len(a.orders), 0)
}

// TestDemandCounter guards against requests that still count as waiting after their attempt, and against failures that count
// as refusals.
func TestDemandCounter(t *testing.T) {
	c := newDemandCounter()
	assert.Assert(t, c.snapshot() == nil)
	for _, err := range []error{nil, &placement.Refusal{}, errTimeout} {
		c.begin("pool", 100)
		c.end("pool", err)
	}
	c.begin("pool", 100)
	assert.DeepEqual(t, c.snapshot(), map[string]hub.Demand{"pool": {Arrived: 4, Refused: 1, Work: 400, Waiting: 1}})
}

// TestServerStates guards against a decision that takes backend servers for usable that are cold, leaving or out of reach, or
// a list for current whose entries lapsed in an outage.
func TestServerStates(t *testing.T) {
	now := time.Unix(1000, 0)
	svc := &fleet.Service{Name: "pool", Engine: true}
	servers := []*fleet.Server{
		{ID: "cold", ColdUntil: now.Add(time.Second)}, {ID: "crashed"}, {ID: "draining", Draining: true}, {ID: "running"},
	}
	v := fleet.NewView()
	for _, s := range servers {
		s.Service, s.DataCentre, s.Slots = "pool", s.ID, 4
		v = v.With(fleet.Change{Server: s})
	}
	sched := newScheduler(schedulerConfig{instance: "self", view: func() *fleet.View { return v }})
	crashed, running := v.Servers["crashed"], v.Servers["running"]
	sched.board.Start(now, crashed, &placement.Job{})
	sched.board.Finish(now, svc, crashed, &placement.Job{}, placement.Outcome{Unreachable: true})
	sched.board.Start(now, running, &placement.Job{})
	sched.board.RecordInterToken(svc, running, 5*time.Millisecond)
	states, lapsed := sched.serverStates(now, v, svc)
	assert.Assert(t, !lapsed)
	byName := map[string]autoscale.Server{}
	for _, s := range states {
		byName[s.DataCentre] = s
	}
	assert.DeepEqual(t, byName, map[string]autoscale.Server{
		"cold":     {DataCentre: "cold", Slots: 4, Cold: true},
		"crashed":  {DataCentre: "crashed", Slots: 4, Crashed: true},
		"draining": {DataCentre: "draining", Slots: 4, Draining: true},
		"running":  {DataCentre: "running", Slots: 4, Running: 1, UnitMS: 5},
	})
	v = v.With(fleet.Change{RemovedServer: "running", MayReturn: true, Time: now})
	_, lapsed = sched.serverStates(now, v, svc)
	assert.Assert(t, lapsed)
}
