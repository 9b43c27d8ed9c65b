package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/capacity"
	"github.com/mustardseam/mustardseam/mustardseam/cost"
	"github.com/mustardseam/mustardseam/mustardseam/fair"
	"github.com/mustardseam/mustardseam/mustardseam/retry"
	"github.com/mustardseam/mustardseam/mustardseam/routing"
)

// Pool holds the queue of one pool in one region and the occupancy of its backend servers. It is not safe for
// concurrent use.
type Pool struct {
	cfg         Config
	now         time.Time // Latest time that a caller passed in.
	epoch       uint64    // Epoch of the home instance, copied to permits.
	instances   int       // Number of instances that divide each limit.
	queue       *fair.Queue
	costs       cost.Estimator
	retryBudget retry.Budget
	picker      *routing.Picker
	servers     map[string]*server
	// Values of servers in configuration order, so that results do not depend on map order.
	serverList []*server
	// Servers that are no longer configured but still run requests.
	removedServers map[string]*server
	versionGroups  map[string]*versionGroup // Servers by version.
	classes        map[classKey]*capacity.Class
	routes         map[string]*route
	// Waiting and running requests by ask ID.
	requests map[string]*request
	// Waiting requests that have a deadline.
	latestStarts byLatestStart
	// Running requests of dead instances at servers without load reports.
	orphans []*request
	// Refusals for the next decisions.
	refusals []Refusal
	// IDs of the asks in refusals.
	refusedIDs      map[string]bool
	blockedVersions map[blockKey]bool
	// Method value of shouldSkipLane, created once.
	skipLane           func(lane string) bool
	decideRound        uint64        // Number of the current Decide call.
	totalLimit         int           // Sum of the current limits of the usable servers.
	totalRoom          int           // Sum of the room of the usable servers.
	totalWarmLimit     int           // Sum of the warm limits of the usable servers.
	lastSweep          time.Time     // Time of the last sweepQueue.
	queueNonEmptySince time.Time     // Time since which requests have always been waiting; zero if none wait.
	meanDuration       time.Duration // Mean duration of answered requests.
	forecast           forecast
}

// classKey identifies the servers that are expected to be equally fast.
type classKey struct {
	version  string
	hardware string
}

// New returns a pool with the given configuration and no requests.
func New(cfg Config) *Pool {
	p := &Pool{
		instances:       1,
		queue:           fair.New(fair.Config{}),
		picker:          routing.New(cfg.Seed),
		servers:         map[string]*server{},
		removedServers:  map[string]*server{},
		versionGroups:   map[string]*versionGroup{},
		classes:         map[classKey]*capacity.Class{},
		routes:          map[string]*route{},
		requests:        map[string]*request{},
		refusedIDs:      map[string]bool{},
		blockedVersions: map[blockKey]bool{},
		meanDuration:    time.Second,
	}
	p.skipLane = p.shouldSkipLane
	p.Configure(time.Time{}, cfg)
	return p
}

// SetEpoch sets the epoch of the permits.
func (p *Pool) SetEpoch(epoch uint64) { p.epoch = epoch }

// SetInstances divides the limits among n instances. In static share mode n is above 1, and this pool runs at most
// floor((limit - others) / n) requests of its own on a server. A change between the modes waits for new load reports,
// because the requests of the other instances are unknown.
func (p *Pool) SetInstances(n int) {
	n = max(1, n)
	if n == p.instances {
		return
	}
	if n == 1 || p.instances == 1 {
		p.AwaitFreshReports(p.now)
	}
	p.instances = n
	for _, s := range p.serverList {
		s.capacity.SetShared(n > 1)
		p.refresh(s)
	}
}

// AwaitFreshReports stops grants to each server until a load report taken after the given time shows its occupancy. Servers of a
// service pool send no reports and start at the cold limit.
func (p *Pool) AwaitFreshReports(now time.Time) {
	p.advanceClock(now)
	for _, s := range p.serverList {
		s.capacity.AwaitFreshReport(now)
		p.refresh(s)
	}
}

// advanceClock sets the current time, which never goes back.
func (p *Pool) advanceClock(now time.Time) {
	if now.After(p.now) {
		p.now = now
	}
}
