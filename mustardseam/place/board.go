package place

import (
	"math/rand/v2"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/rendezvous"
)

const (
	// similar is the part by which another choice may be worse and still be taken at random, so that instances that know the
	// same do not all choose the same backend server.
	similar = 0.12
	// sampleFrom is the number of backend servers of a service from which on a job chooses among a part of them, so that a
	// decision takes no longer at 2,400 than at 140. Where none of these has room, all are looked at.
	sampleFrom = 400
	// sampleSize is the least size of that part. The best of so many is mostly among the best fiftieth of all.
	sampleSize = 64
	// retention is how long the account of an incarnation that is no longer listed is kept.
	retention = time.Minute
)

// Board keeps the accounts of backend servers.
type Board struct {
	accounts map[fleet.Incarnation]*account
	known    map[*fleet.Server]*account // The same by entry, whose lookup is faster; until the next sweep.
	engines  map[string]*engineModel    // By service.
	outputs  map[string]average         // Tokens that requests write, by route.
	random   func() float64
	self     string
	unheard  float64
	quiet    time.Time // Until then a backend server may want nothing from some instance.
	nodes    int
	served   int              // Instances for which this one places, itself included.
	parts    map[list]float64 // How much of the free slots the instances may use; until the next word.
}

// engineModel is what the backend servers of a service have in common.
type engineModel struct {
	pace    average // Milliseconds from token to token, over all.
	first   line    // Milliseconds to the first event by tokens to read, at a backend server of average pace.
	service average // Milliseconds that a request holds a slot.
}

// BoardConfig says how a board decides between like choices.
type BoardConfig struct {
	Random func() float64 // In [0, 1); the default source when nil.
	Self   string         // Name of this instance, which makes its preferences its own.
}

// NewBoard returns a board without accounts.
func NewBoard(cfg BoardConfig) *Board {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Board{
		accounts: map[fleet.Incarnation]*account{}, known: map[*fleet.Server]*account{},
		engines: map[string]*engineModel{}, outputs: map[string]average{}, parts: map[list]float64{},
		random: cfg.Random, self: cfg.Self, served: 1,
	}
}

// Choose returns the backend server for a job, or nil when none of the candidates has room. Deep is how far beyond its
// slots a backend server may be filled. With jobs waiting, those of other instances are likely to wait as well, and all
// would send to a backend server that comes free.
func (b *Board) Choose(now time.Time, c Candidates, j *Job, deep int, waiting bool) *fleet.Server {
	preferred, spare := limits{deep: deep, part: b.part(c, false, waiting)}, limits{part: b.part(c, true, waiting)}
	if !c.Full {
		if s := b.choose(now, c.Service, c.Servers, j, preferred); s != nil {
			return s
		}
	}
	if len(c.Spare) == 0 && c.Full {
		return nil
	}
	if s := b.choose(now, c.Service, c.Spare, j, spare); s != nil {
		return s
	}
	if b.anyHealthy(now, c.Servers, j) || b.anyHealthy(now, c.Spare, j) {
		// Healthy ones are merely full: the job waits.
		return nil
	}
	// All look sick or were tried: better a doubtful one than none.
	preferred.doubtful, spare.doubtful = true, true
	if s := b.choose(now, c.Service, c.Servers, j, preferred); s != nil {
		return s
	}
	return b.choose(now, c.Service, c.Spare, j, spare)
}

// limits say how far backend servers may be filled.
type limits struct {
	deep     int     // Requests beyond the slots.
	part     float64 // Of the free slots, over all instances.
	doubtful bool    // Also those that are avoided or have had the job.
}

// choose returns the backend server of a list for a job, or nil.
func (b *Board) choose(now time.Time, svc *fleet.Service, servers []*fleet.Server, j *Job, l limits) *fleet.Server {
	best, second := b.sample(now, svc, servers, j, l)
	if best.server == nil {
		best, second = b.cheapest(now, svc, servers, j, l, 0, 1)
	}
	if second.server != nil && second.cost <= best.cost*(1+similar) && b.random() < 0.5 {
		return second.server
	}
	return best.server
}

// sample returns the cheapest candidates of a part of a long list, another one each time, and none for a short list.
func (b *Board) sample(now time.Time, svc *fleet.Service, servers []*fleet.Server, j *Job, l limits) (best, second choice) {
	if len(servers) < sampleFrom {
		return best, second
	}
	step := len(servers) / sampleSize
	return b.cheapest(now, svc, servers, j, l, min(step-1, int(b.random()*float64(step))), step)
}

// choice is a backend server with its expected cost in milliseconds.
type choice struct {
	server *fleet.Server
	cost   float64
}

// anyHealthy reports whether there is a backend server that is not avoided and has not had the job.
func (b *Board) anyHealthy(now time.Time, servers []*fleet.Server, j *Job) bool {
	for _, s := range servers {
		if a := b.account(s); !j.tried(s.Incarnation()) && !a.avoided(now) && a.quietFor(now, j) <= 0 {
			return true
		}
	}
	return false
}

// Quiet returns for how long all candidates want nothing from the instance that sends a job; 0 when one takes requests.
func (b *Board) Quiet(now time.Time, c Candidates, j *Job) time.Duration {
	least := time.Duration(0)
	for _, list := range [][]*fleet.Server{c.Servers, c.Spare} {
		for _, s := range list {
			left := b.account(s).quietFor(now, j)
			if left <= 0 {
				return 0
			}
			if least == 0 || left < least {
				least = left
			}
		}
	}
	return least
}

// AnyQuiet reports whether instances may differ in the backend servers that take their requests.
func (b *Board) AnyQuiet(now time.Time) bool { return now.Before(b.quiet) }

// Takes reports whether a backend server takes requests from the instance that sends a job, whatever its room.
func (b *Board) Takes(now time.Time, s *fleet.Server, j *Job) bool {
	return b.account(s).quietFor(now, j) <= 0
}

// cheapest returns the two candidates with the least expected cost among those from one on, a number of steps apart.
func (b *Board) cheapest(
	now time.Time, svc *fleet.Service, servers []*fleet.Server, j *Job, l limits, from, step int,
) (best, second choice) {
	p := b.prospect(svc, j)
	for i := from; i < len(servers); i += step {
		s := servers[i]
		a := b.account(s)
		if now.Before(a.full) || a.quietFor(now, j) > 0 || !b.room(a, svc, s, l) {
			continue
		}
		if !l.doubtful && (a.avoided(now) || j.tried(s.Incarnation())) {
			continue
		}
		c := choice{server: s, cost: b.cost(a, p, s)}
		switch {
		case best.server == nil || c.cost < best.cost:
			best, second = c, best
		case second.server == nil || c.cost < second.cost:
			second = c
		}
	}
	return best, second
}

// Load returns what all instances have sent to a backend server as far as this one knows.
func (b *Board) Load(s *fleet.Server) Load { return b.account(s).load() }

// Sweep forgets accounts that are not used any more.
func (b *Board) Sweep(now time.Time, listed func(fleet.Incarnation) bool) {
	clear(b.known)
	for id, a := range b.accounts {
		if !listed(id) && a.own.Requests == 0 && now.Sub(a.used) > retention {
			delete(b.accounts, id)
		}
	}
}

// Answered returns when a backend server last showed a sign of life.
func (b *Board) Answered(s *fleet.Server) time.Time { return b.account(s).answered }

// Sick reports whether a backend server is avoided.
func (b *Board) Sick(now time.Time, s *fleet.Server) bool { return b.account(s).avoided(now) }

// Inspection is what a board holds of a backend server.
type Inspection struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Own      Load    `json:"own"`
	Others   Load    `json:"others"`
	PaceMS   float64 `json:"pace-ms"`
	Failures float64 `json:"failures"`
	Sick     bool    `json:"sick"`
}

// Inspect returns what is known of a backend server.
func (b *Board) Inspect(now time.Time, s *fleet.Server) Inspection {
	a := b.account(s)
	return Inspection{
		ID: s.ID, Service: s.Service, Own: a.own, Others: a.others, PaceMS: a.pace.value, Failures: a.failures,
		Sick: a.avoided(now),
	}
}

func (b *Board) account(s *fleet.Server) *account {
	if a := b.known[s]; a != nil {
		return a
	}
	id := s.Incarnation()
	a := b.accounts[id]
	if a == nil {
		a = &account{bias: rendezvous.Fraction(s.ID, b.self)}
		a.draw = a.bias
		b.accounts[id] = a
	}
	b.known[s] = a
	return a
}

func (b *Board) model(service string) *engineModel {
	m := b.engines[service]
	if m == nil {
		m = &engineModel{}
		b.engines[service] = m
	}
	return m
}
