package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/capacity"
	"github.com/mustardseam/mustardseam/mustardseam/cost"
	"github.com/mustardseam/mustardseam/mustardseam/fair"
	"github.com/mustardseam/mustardseam/mustardseam/retry"
	"github.com/mustardseam/mustardseam/mustardseam/routing"
)

// Pool holds the queue of one pool in one region and the occupancy of its backend servers; it is not safe for
// concurrent use.
type Pool struct {
	cfg      Config
	now      time.Time // Latest time that was passed in.
	epoch    uint64
	share    int // Instances among which each limit is divided.
	queue    *fair.Queue
	costs    cost.Estimator
	budget   retry.Budget
	picker   *routing.Picker
	servers  map[string]*server
	order    []*server          // Those of servers as configured, for results that do not depend on the order of a map.
	removed  map[string]*server // No longer configured, with running requests.
	fleets   map[string]*fleet  // By version.
	classes  map[classKey]*capacity.Class
	routes   map[string]*route
	requests map[string]*request // Waiting and running, by the id of the ask.
	latest   byLatest            // Waiting requests with a deadline.
	orphans  []*request          // Running, of dead instances, at servers without load reports.
	refusals []Refusal           // For the next decisions.
	refused  map[string]bool     // The asks of these.
	blocked  map[blockKey]bool
	closed   func(lane string) bool
	round    uint64 // Number of the current Decide.
	limit    int    // Sum of the limits of servers in service.
	room     int    // Sum of their room.
	full     int    // Sum of their limits once they are warm.
	swept    time.Time
	busy     time.Time     // Since when requests have waited without a pause; zero when none waits.
	duration time.Duration // Mean of answered requests.
	forecast forecast
}

// classKey names the servers that are expected to be equally fast.
type classKey struct {
	version  string
	hardware string
}

// New returns a pool without requests for the given configuration.
func New(cfg Config) *Pool {
	p := &Pool{
		share:    1,
		queue:    fair.New(fair.Config{}),
		picker:   routing.New(cfg.Seed),
		servers:  map[string]*server{},
		removed:  map[string]*server{},
		fleets:   map[string]*fleet{},
		classes:  map[classKey]*capacity.Class{},
		routes:   map[string]*route{},
		requests: map[string]*request{},
		refused:  map[string]bool{},
		blocked:  map[blockKey]bool{},
		duration: time.Second,
	}
	p.closed = p.closedLane
	p.Configure(time.Time{}, cfg)
	return p
}

// SetEpoch sets the epoch that permits carry.
func (p *Pool) SetEpoch(epoch uint64) { p.epoch = epoch }

// SetShare divides the limits among n instances; it is above 1 in static share mode, in which the pool's own requests
// on a server number at most floor((limit - others) / n). A change of mode awaits new load reports, because the other
// instances' requests are not known.
func (p *Pool) SetShare(n int) {
	n = max(1, n)
	if n == p.share {
		return
	}
	if n == 1 || p.share == 1 {
		p.Baseline(p.now)
	}
	p.share = n
	for _, s := range p.order {
		s.cap.Share(n > 1)
		p.refresh(s)
	}
}

// Baseline makes the occupancy of each server start from the first load report taken after the given time; a server
// without such a report gets nothing. Servers of a pool of services send no reports and start at the cold limit.
func (p *Pool) Baseline(now time.Time) {
	p.advance(now)
	for _, s := range p.order {
		s.cap.Baseline(now)
		p.refresh(s)
	}
}

func (p *Pool) advance(now time.Time) {
	if now.After(p.now) {
		p.now = now
	}
}
