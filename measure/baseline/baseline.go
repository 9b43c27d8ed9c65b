package baseline

import (
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/measure/drive"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/operator"
)

// Names lists the names of the baselines.
var Names = []string{"round-robin", "least-load", "static-share"}

// Factory returns a factory of the named baseline, and false if there is no such baseline.
func Factory(name string) (drive.SchedulerFactory, bool) {
	if !slices.Contains(Names, name) {
		return nil, false
	}
	return func(cfg pool.Config) drive.Scheduler {
		b := &scheduler{running: map[string]*grantedRequest{}}
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

// scheduler serves one queue in order of arrival, without tiers, and picks servers by a fixed rule.
type scheduler struct {
	cfg        pool.Config
	servers    []*server
	queue      []pool.Ask
	refusals   []pool.Refusal
	running    map[string]*grantedRequest
	pick       func(a pool.Ask) *server
	perTeam    bool // Whether each team is limited to a fixed share of all slots.
	nextServer int
}

type server struct {
	operator.BackendServer
	outOfService bool
	cold         bool
	running      int // Number of requests that were granted and have not ended.
	reported     int // Number of requests in the last report plus those granted since.
}

type grantedRequest struct {
	server *server
	team   string
}

// Configure applies a configuration.
func (b *scheduler) Configure(_ time.Time, cfg pool.Config) {
	old := b.servers
	b.cfg, b.servers = cfg, nil
	for _, s := range cfg.Servers {
		at := slices.IndexFunc(old, func(o *server) bool { return o.Name == s.Name })
		n := &server{}
		if at >= 0 {
			n = old[at]
		}
		n.BackendServer = s
		n.outOfService = s.Leaving || slices.ContainsFunc(cfg.DataCentres, func(dc operator.DataCentre) bool {
			return dc.Name == s.DataCentre && dc.OutOfService
		})
		b.servers = append(b.servers, n)
	}
}

// Ask appends a request to the queue, or refuses it if the queue is full.
func (b *scheduler) Ask(_ time.Time, a pool.Ask) {
	if len(b.queue) >= b.cfg.Pool.MaxWaiting {
		b.refusals = append(b.refusals, pool.Refusal{AskID: a.ID, Reason: pool.QueueFull, RetryAfter: time.Second})
		return
	}
	b.queue = append(b.queue, a)
}

// Withdraw removes a waiting request from the queue and reports whether it was present.
func (b *scheduler) Withdraw(_ time.Time, id string) bool {
	n := len(b.queue)
	b.queue = slices.DeleteFunc(b.queue, func(a pool.Ask) bool { return a.ID == id })
	return len(b.queue) < n
}

// Done releases the slot of a request.
func (b *scheduler) Done(_ time.Time, o pool.Outcome) {
	j := b.running[o.AskID]
	if j == nil {
		return
	}
	delete(b.running, o.AskID)
	j.server.running--
	j.server.cold = j.server.cold || o.Cold
}

// Report processes a load report.
func (b *scheduler) Report(_ time.Time, r pool.Report) {
	for _, s := range b.servers {
		if s.Name == r.Server {
			s.cold, s.reported = r.Cold, r.Running+r.Waiting
		}
	}
}

// ObserveCacheEvents ignores cache events, because no baseline considers prefixes.
func (b *scheduler) ObserveCacheEvents(time.Time, []pool.CacheEvent) {}

// Decide grants requests from the head of the queue and skips only those of teams without a free slot. It refuses
// requests whose deadline has passed.
func (b *scheduler) Decide(now time.Time) pool.Decisions {
	d := pool.Decisions{Refusals: b.refusals}
	b.refusals = nil
	rest := b.queue[:0]
	for i, a := range b.queue {
		if now.After(a.Deadline) {
			d.Refusals = append(d.Refusals, pool.Refusal{AskID: a.ID, Reason: pool.DeadlineUnmeetable})
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
		b.running[a.ID] = &grantedRequest{s, a.Team}
		d.Permits = append(d.Permits, pool.Permit{AskID: a.ID, Server: s.Name, Address: s.Address, Version: s.Version})
	}
	b.queue = rest
	return d
}

// usable reports whether the server may serve the request, regardless of its load.
func (b *scheduler) usable(s *server, a pool.Ask) bool {
	at := slices.IndexFunc(b.cfg.Routes, func(r operator.Route) bool { return r.Name == a.Route })
	return !s.outOfService && at >= 0 && s.Version == b.cfg.Routes[at].Version && !slices.Contains(a.Avoid, s.Name)
}

func (s *server) limit() int {
	if s.cold {
		return s.ColdLimit
	}
	return s.Limit
}
