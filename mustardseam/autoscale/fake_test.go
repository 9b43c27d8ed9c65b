package autoscale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// fakeService is a service whose platform carries out orders and whose callers send a given load.
type fakeService struct {
	cfg      Config
	random   *rand.Rand
	now      time.Time
	history  *History
	servers  []*fakeServer
	rate     func(second int) float64 // Requests per second.
	orders   []sentOrder
	desired  map[string]int
	reasons  []Reason // Of the decisions.
	waiting  float64
	answered bool          // The platform answers orders.
	carryOut bool          // The platform carries orders out.
	late     time.Duration // Delay until orders are carried out.
	// removeRunning tells that the platform removes the oldest backend servers of a data centre, not the latest.
	removeRunning bool
	change        func(second int, o *Observation) // Changes an observation; nil for no change.
}

type fakeServer struct {
	Server
	ready time.Time // Time from which on it is listed.
	back  time.Time // Time at which it comes back after a crash.
}

type sentOrder struct {
	second int
	Order
}

const (
	fakeRate    = 262.0 // Usual requests per second.
	fakeTokens  = 243.0 // Mean output tokens of a request.
	fakeTokenMS = 4.63
)

// newFakeService returns a service with 30 engines of unlike speeds in each of three data centres, of which the usual load
// takes about three quarters.
func newFakeService(rate func(second int) float64) *fakeService {
	f := &fakeService{
		cfg:    Config{Min: 26, Max: 60, Boot: 8 * time.Second, Cold: 3 * time.Second},
		random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1_000_000, 0), history: NewHistory(), rate: rate,
		desired: map[string]int{}, answered: true, carryOut: true,
	}
	for _, dc := range []string{"a", "b", "c"} {
		for range 30 {
			f.addServer(dc, f.now)
		}
		f.desired[dc] = 30
	}
	return f
}

// addServer adds an engine; two of three run at 0.68 times and one at 3.0 times the usual time per token.
func (f *fakeService) addServer(dc string, ready time.Time) {
	factor := 0.68
	if len(f.servers)%3 == 2 {
		factor = 3.0
	}
	f.servers = append(f.servers, &fakeServer{
		Server: Server{DataCentre: dc, Slots: 4, UnitMS: fakeTokenMS * factor}, ready: ready,
	})
}

// run advances the service by a number of seconds.
func (f *fakeService) run(seconds int) {
	for range seconds {
		f.step(len(f.reasons))
	}
}

// step makes one decision, after one second of load.
func (f *fakeService) step(second int) {
	f.now = f.now.Add(time.Second)
	arrived := math.Max(0, math.Round(f.rate(second)+math.Sqrt(f.rate(second))*f.random.NormFloat64()))
	o := Observation{ListKnown: true, DemandKnown: true, Arrived: int64(arrived)}
	// The work of requests varies by as much as its mean.
	o.Work = math.Max(0, arrived*fakeTokens+math.Sqrt(arrived)*fakeTokens*f.random.NormFloat64())
	capacity := 0.0
	for _, s := range f.servers {
		if !f.now.Before(s.ready) && !f.now.Before(s.back) {
			capacity += s.capacity()
		}
	}
	used := math.Min(1, (o.Work+f.waiting*fakeTokens)/capacity)
	f.waiting = math.Max(0, f.waiting+(o.Work-capacity)/fakeTokens)
	if limit := fakeRate; f.waiting > limit { // Requests that wait for more than about a second are refused.
		o.Refused = int64(f.waiting - limit)
		f.waiting = limit
	}
	o.Waiting = int(f.waiting)
	for _, s := range f.servers {
		srv := s.Server
		srv.Crashed = f.now.Before(s.back)
		if !srv.Crashed {
			srv.Running = int(used*float64(srv.Slots) + f.random.Float64())
		}
		if !f.now.Before(s.ready) {
			o.Servers = append(o.Servers, srv)
		}
	}
	if f.change != nil {
		f.change(second, &o)
	}
	d := Decide(f.cfg, f.now, o, f.history)
	f.reasons = append(f.reasons, d.Reason)
	for _, order := range f.history.Orders(f.cfg, f.now, d) {
		f.orders = append(f.orders, sentOrder{second, order})
		f.history.Sent(f.now, order)
		if f.answered {
			f.history.Answered(order)
		}
		if f.carryOut {
			f.desired[order.DataCentre] = order.Desired
		}
	}
	f.follow()
}

// follow starts and ends backend servers until their numbers are as desired.
func (f *fakeService) follow() {
	for dc, desired := range f.desired {
		n := f.count(dc)
		for ; n < desired; n++ {
			f.addServer(dc, f.now.Add(f.cfg.Boot+f.late))
		}
		for k := len(f.servers) - 1; k >= 0 && n > desired; k-- {
			i := k
			if f.removeRunning {
				i = slices.IndexFunc(f.servers, func(s *fakeServer) bool { return s.DataCentre == dc })
			}
			if f.servers[i].DataCentre == dc {
				f.servers = append(f.servers[:i:i], f.servers[i+1:]...)
				n--
			}
		}
	}
}

// count returns the number of backend servers of a data centre, including those that start.
func (f *fakeService) count(dc string) int {
	n := 0
	for _, s := range f.servers {
		if s.DataCentre == dc {
			n++
		}
	}
	return n
}

// total returns the number of backend servers that the platform was told to run.
func (f *fakeService) total() int { return sum(f.desired) }

func (f *fakeService) String() string {
	return fmt.Sprintf("orders %v, reasons %v", f.orders, f.reasons)
}

// falls returns the number of decisions that lowered the numbers.
func (f *fakeService) falls() int {
	falls := 0
	for _, r := range f.reasons {
		if r == Fall || r == Withdraw {
			falls++
		}
	}
	return falls
}

// totals returns the sum of the ordered numbers after each second with orders.
func (f *fakeService) totals() []int {
	counts := map[string]int{"a": 30, "b": 30, "c": 30}
	var totals []int
	for i, o := range f.orders {
		counts[o.DataCentre] = o.Desired
		if i == len(f.orders)-1 || f.orders[i+1].second != o.second {
			totals = append(totals, sum(counts))
		}
	}
	return totals
}
