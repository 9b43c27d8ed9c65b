package placement

import (
	"math/rand/v2"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/promptcache"
	"github.com/mustardseam/mustardseam/mustardseam/rendezvous"
)

const (
	// tieTolerance is the relative cost difference up to which the second-best candidate is chosen half of the time, so
	// that instances with the same information do not all choose the same backend server.
	tieTolerance = 0.12
	// sampleThreshold is the number of backend servers in a service from which on only a sample is examined, so that a
	// decision takes no longer with 2,400 backend servers than with 140. If none of the sample has room, all are examined.
	sampleThreshold = 400
	// minSampleSize is the minimum size of a sample. The best of 64 is usually among the best 2 % of all.
	minSampleSize = 64
	// stateRetention is how long after its latest dispatch the state of an unregistered incarnation is kept.
	stateRetention = time.Minute
)

// Board holds the state of the backend servers and chooses among them.
type Board struct {
	states          map[fleet.Incarnation]*serverState
	statesByServer  map[*fleet.Server]*serverState // Cache of states with a faster lookup; cleared by Sweep.
	models          map[string]*serviceModel       // By service name.
	meanOutputs     map[string]average             // Output tokens per request, by route.
	random          func() float64                 // Returns numbers in [0, 1).
	self            string                         // Name of this instance.
	unseenPerServer float64                        // Mean requests per backend server from others, unseen by this one.
	backoffUntil    time.Time                      // Latest time at which a backoff requested by a backend server ends.
	instances       int                            // Number of instances, including this one.
	// servedInstances is the number of instances for which this one places requests, including itself.
	servedInstances int
	// overcommitFactors caches the results of overcommitFactor until the next call of SetOtherLoads.
	overcommitFactors map[candidateList]float64
	prompts           *promptcache.Index // What the prompt caches of engines keep; nil if prompt parts are ignored.
	// stateByEngine holds the states that have an entry in prompts.
	stateByEngine map[*promptcache.Engine]*serverState
}

// serviceModel holds averages over all backend servers of a service, an engine service or a plain one.
type serviceModel struct {
	interToken      average   // Inter-token latency in milliseconds, of the latest measurements.
	usualInterToken average   // Inter-token latency in milliseconds, over many measurements; the measure of slowdown.
	firstEvent      linearFit // Milliseconds to the first event by prompt tokens, at a backend server of average speed.
	serviceTime     average   // Milliseconds that a request occupies a slot.
}

// BoardConfig configures how a board breaks ties between similar choices.
type BoardConfig struct {
	Random func() float64 // Returns numbers in [0, 1); nil selects the default source.
	Self   string         // Name of this instance, which determines its cost offsets.
	// IgnorePrompts makes the choice independent of what engines keep of a prompt.
	IgnorePrompts bool
}

// NewBoard returns a board that knows no backend servers.
func NewBoard(cfg BoardConfig) *Board {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	b := &Board{
		states: map[fleet.Incarnation]*serverState{}, statesByServer: map[*fleet.Server]*serverState{},
		models: map[string]*serviceModel{}, meanOutputs: map[string]average{}, overcommitFactors: map[candidateList]float64{},
		random: cfg.Random, self: cfg.Self, servedInstances: 1, stateByEngine: map[*promptcache.Engine]*serverState{},
	}
	if !cfg.IgnorePrompts {
		b.prompts = promptcache.New(promptcache.Config{})
	}
	return b
}

// Choose returns the backend server for a job, or nil if no candidate has room. queueDepth is the number of requests
// beyond its slots that a preferred backend server may have. waiting reports whether other jobs wait. Jobs of other
// instances then probably wait as well, so only minOvercommit applies; otherwise all instances would send to a backend
// server as soon as one of its slots becomes free.
func (b *Board) Choose(now time.Time, c Candidates, j *Job, queueDepth int, waiting bool) *fleet.Server {
	preferred, fallback := selectionOptions{queueDepth: queueDepth, overcommit: b.overcommitFactor(c, false, waiting)},
		selectionOptions{overcommit: b.overcommitFactor(c, true, waiting)}
	if !c.Full {
		if s := b.choose(now, c.Service, c.Servers, j, preferred); s != nil {
			return s
		}
	}
	if len(c.Fallback) == 0 && c.Full {
		return nil
	}
	if s := b.choose(now, c.Service, c.Fallback, j, fallback); s != nil {
		return s
	}
	if b.anyEligible(now, c.Servers, j) || b.anyEligible(now, c.Fallback, j) {
		// At least one candidate is eligible but full, so the job waits.
		return nil
	}
	// All candidates are avoided, were already tried or are in backoff. Trying one again is better than sending to
	// none; a backoff is still respected.
	preferred.lastResort, fallback.lastResort = true, true
	if s := b.choose(now, c.Service, c.Servers, j, preferred); s != nil {
		return s
	}
	return b.choose(now, c.Service, c.Fallback, j, fallback)
}

// selectionOptions define which backend servers may get a request and how far they may be filled.
type selectionOptions struct {
	queueDepth int     // Requests beyond the slots.
	overcommit float64 // Requests per free slot that all instances together may send between two reports.
	lastResort bool    // Also use backend servers that are avoided or were already tried.
}

// choose returns the backend server for a job from a list, or nil if none has room.
func (b *Board) choose(now time.Time, svc *fleet.Service, servers []*fleet.Server, j *Job, opts selectionOptions) *fleet.Server {
	best, second := b.sample(now, svc, servers, j, opts)
	if best.server == nil {
		best, second = b.cheapest(now, svc, servers, j, opts, 0, 1)
	}
	if second.server != nil && second.kept >= best.kept && second.cost <= best.cost*(1+tieTolerance) && b.random() < 0.5 {
		best = second
	}
	if best.server != nil {
		b.state(best.server).listIndex = best.index
	}
	return best.server
}

// sample returns the two cheapest candidates of a sample of a long list, with a random offset for each call. For a short
// list it returns none.
func (b *Board) sample(
	now time.Time, svc *fleet.Service, servers []*fleet.Server, j *Job, opts selectionOptions,
) (best, second choice) {
	if len(servers) < sampleThreshold {
		return best, second
	}
	step := len(servers) / minSampleSize
	best, second = b.cheapest(now, svc, servers, j, opts, min(step-1, int(b.random()*float64(step))), step)
	return b.withHolders(now, svc, servers, j, opts, best, second)
}

// choice is a backend server and its expected cost in milliseconds.
type choice struct {
	server *fleet.Server
	cost   float64
	kept   int // Tokens of the prompt that it keeps.
	index  int // Position in the list of candidates.
}

// anyEligible reports whether a list has a backend server that is not avoided, was not tried for the job and did not ask
// the instance of the job to back off.
func (b *Board) anyEligible(now time.Time, servers []*fleet.Server, j *Job) bool {
	for _, s := range servers {
		if st := b.state(s); !j.tried(s.Incarnation()) && !st.avoided(now) && st.backoffLeft(now, j) <= 0 {
			return true
		}
	}
	return false
}

// BackoffLeft returns how long it takes until the first candidate accepts requests again from the instance of a job, or
// 0 if one accepts them now.
func (b *Board) BackoffLeft(now time.Time, c Candidates, j *Job) time.Duration {
	shortest := time.Duration(0)
	for _, servers := range [][]*fleet.Server{c.Servers, c.Fallback} {
		for _, s := range servers {
			left := b.state(s).backoffLeft(now, j)
			if left <= 0 {
				return 0
			}
			if shortest == 0 || left < shortest {
				shortest = left
			}
		}
	}
	return shortest
}

// AnyBackoff reports whether a backend server may have asked an instance to back off. While it is true, the backend
// servers that accept requests can differ between instances.
func (b *Board) AnyBackoff(now time.Time) bool { return now.Before(b.backoffUntil) }

// Accepts reports whether a backend server accepts requests from the instance of a job, regardless of its free slots.
func (b *Board) Accepts(now time.Time, s *fleet.Server, j *Job) bool {
	return b.state(s).backoffLeft(now, j) <= 0
}

// cheapest returns the two candidates with the lowest expected cost among every step-th backend server, starting at
// index from.
func (b *Board) cheapest(
	now time.Time, svc *fleet.Service, servers []*fleet.Server, j *Job, opts selectionOptions, from, step int,
) (best, second choice) {
	est := b.estimateJob(now, svc, j, step == 1 && len(servers) > maxHolders)
	for i := from; i < len(servers); i += step {
		s := servers[i]
		st := b.state(s)
		if now.Before(st.fullUntil) || st.backoffLeft(now, j) > 0 || !b.hasRoom(st, svc, s, opts) {
			continue
		}
		if !opts.lastResort && (st.avoided(now) || j.tried(s.Incarnation())) {
			continue
		}
		est.kept = est.prompt.Kept(st.engine)
		c := choice{server: s, cost: b.cost(st, est, s), kept: est.kept, index: i}
		switch {
		case best.server == nil || c.cost < best.cost:
			best, second = c, best
		case second.server == nil || c.cost < second.cost:
			second = c
		}
	}
	return best, second
}

// Load returns the known load that all instances have sent to a backend server.
func (b *Board) Load(s *fleet.Server) Load { return b.state(s).load() }

// Sweep deletes the state of unregistered incarnations that have not been used for stateRetention.
func (b *Board) Sweep(now time.Time, registered func(fleet.Incarnation) bool) {
	clear(b.statesByServer)
	for id, st := range b.states {
		if !registered(id) && st.own.Requests == 0 && now.Sub(st.lastDispatch) > stateRetention {
			b.forgetPrompts(st)
			delete(b.states, id)
		}
	}
}

// LastAnswer returns the time at which a backend server last responded in any way.
func (b *Board) LastAnswer(s *fleet.Server) time.Time { return b.state(s).lastAnswer }

// Avoided reports whether a backend server is avoided because of failures.
func (b *Board) Avoided(now time.Time, s *fleet.Server) bool { return b.state(s).avoided(now) }

// Inspection is the state of a backend server for display.
type Inspection struct {
	ID           string  `json:"id"`
	Service      string  `json:"service"`
	Own          Load    `json:"own"`      // Load that this instance has sent.
	Others       Load    `json:"others"`   // Load that the other instances have sent.
	InterTokenMS float64 `json:"pace-ms"`  // Inter-token latency in milliseconds.
	FailureRate  float64 `json:"failures"` // Smoothed failure rate, 0 to 1.
	Avoided      bool    `json:"sick"`     // The backend server is avoided.
}

// Inspect returns the state of a backend server.
func (b *Board) Inspect(now time.Time, s *fleet.Server) Inspection {
	st := b.state(s)
	return Inspection{
		ID: s.ID, Service: s.Service, Own: st.own, Others: st.others, InterTokenMS: st.interToken.value, FailureRate: st.failureRate,
		Avoided: st.avoided(now),
	}
}

// state returns the state of the incarnation of a backend server and creates it if necessary.
func (b *Board) state(s *fleet.Server) *serverState {
	if st := b.statesByServer[s]; st != nil {
		return st
	}
	id := s.Incarnation()
	st := b.states[id]
	if st == nil {
		st = &serverState{costOffset: rendezvous.Fraction(s.ID, b.self)}
		st.shareDither = st.costOffset
		b.states[id] = st
	}
	b.statesByServer[s] = st
	return st
}

// model returns the model of a service and creates it if necessary.
func (b *Board) model(service string) *serviceModel {
	m := b.models[service]
	if m == nil {
		m = &serviceModel{}
		b.models[service] = m
	}
	return m
}
