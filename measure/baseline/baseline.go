package baseline

import (
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/measure/drive"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/operator"
)

// Names lists the baselines.
var Names = []string{"round-robin", "least-load", "static-share"}

// Maker returns a maker of the named baseline, and false when there is none of that name.
func Maker(name string) (drive.SchedulerFactory, bool) {
	if !slices.Contains(Names, name) {
		return nil, false
	}
	return func(cfg pool.Config) drive.Scheduler {
		b := &base{running: map[string]*job{}}
		b.Configure(time.Time{}, cfg)
		switch name {
		case "least-load":
			b.pick = b.leastLoad
		case "static-share":
			b.pick, b.perTeam = b.roundRobin, true
		default:
			b.pick = b.roundRobin
		}
		return b
	}, true
}

// base is one queue in the order of arrival, without tiers, and a rule that picks the server.
type base struct {
	cfg     pool.Config
	servers []*server
	queue   []pool.Ask
	shed    []pool.Refusal
	running map[string]*job
	pick    func(a pool.Ask) *server
	perTeam bool // Each team has a fixed share of all slots.
	next    int
}

type server struct {
	operator.BackendServer
	out      bool
	cold     bool
	running  int // Granted and not yet ended.
	reported int // Requests at the last report, and those granted since.
}

type job struct {
	server *server
	team   string
}

// Configure puts a configuration in force.
func (b *base) Configure(_ time.Time, cfg pool.Config) {
	old := b.servers
	b.cfg, b.servers = cfg, nil
	for _, s := range cfg.Servers {
		at := slices.IndexFunc(old, func(o *server) bool { return o.Name == s.Name })
		n := &server{}
		if at >= 0 {
			n = old[at]
		}
		n.BackendServer = s
		n.out = s.Leaving || slices.ContainsFunc(cfg.DataCentres, func(dc operator.DataCentre) bool {
			return dc.Name == s.DataCentre && dc.OutOfService
		})
		b.servers = append(b.servers, n)
	}
}

// Ask puts a request at the end of the queue, or refuses it when the queue is full.
func (b *base) Ask(_ time.Time, a pool.Ask) {
	if len(b.queue) >= b.cfg.Pool.MaxWaiting {
		b.shed = append(b.shed, pool.Refusal{Ask: a.ID, Reason: pool.QueueFull, RetryAfter: time.Second})
		return
	}
	b.queue = append(b.queue, a)
}

// Withdraw takes a waiting request out of the queue and reports whether it was there.
func (b *base) Withdraw(_ time.Time, id string) bool {
	n := len(b.queue)
	b.queue = slices.DeleteFunc(b.queue, func(a pool.Ask) bool { return a.ID == id })
	return len(b.queue) < n
}

// Done frees the slot of a request.
func (b *base) Done(_ time.Time, o pool.Outcome) {
	j := b.running[o.Ask]
	if j == nil {
		return
	}
	delete(b.running, o.Ask)
	j.server.running--
	j.server.cold = j.server.cold || o.Cold
}

// Report takes in a load report.
func (b *base) Report(_ time.Time, r pool.Report) {
	for _, s := range b.servers {
		if s.Name == r.Server {
			s.cold, s.reported = r.Cold, r.Running+r.Waiting
		}
	}
}

// ObserveCacheEvents ignores cache events: no baseline knows of prefixes.
func (b *base) ObserveCacheEvents(time.Time, []pool.CacheEvent) {}

// Decide grants from the head of the queue; only a team without a free slot is passed over.
func (b *base) Decide(now time.Time) pool.Decisions {
	d := pool.Decisions{Refusals: b.shed}
	b.shed = nil
	rest := b.queue[:0]
	for i, a := range b.queue {
		if now.After(a.Deadline) {
			d.Refusals = append(d.Refusals, pool.Refusal{Ask: a.ID, Reason: pool.DeadlineUnreachable})
			continue
		}
		if b.perTeam && !b.hasSlot(a.Team) {
			rest = append(rest, a)
			continue
		}
		s := b.pick(a)
		if s == nil {
			rest = append(rest, b.queue[i:]...)
			break
		}
		s.running++
		s.reported++
		b.running[a.ID] = &job{s, a.Team}
		d.Permits = append(d.Permits, pool.Permit{Ask: a.ID, Server: s.Name, Address: s.Address, Version: s.Version})
	}
	b.queue = rest
	return d
}

// usable reports whether the server may take the request at all.
func (b *base) usable(s *server, a pool.Ask) bool {
	at := slices.IndexFunc(b.cfg.Routes, func(r operator.Route) bool { return r.Name == a.Route })
	return !s.out && at >= 0 && s.Version == b.cfg.Routes[at].Version && !slices.Contains(a.Avoid, s.Name)
}

func (s *server) limit() int {
	if s.cold {
		return s.ColdLimit
	}
	return s.Limit
}
