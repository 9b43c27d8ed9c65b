package place

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// Values that hold until measurements replace them.
const (
	defaultPace    = 6.0   // Milliseconds from token to token.
	defaultRead    = 40.0  // Prompt tokens read in a millisecond.
	defaultLatency = 30.0  // Milliseconds of a plain service.
	defaultOutput  = 100.0 // Tokens that a request writes.
	defaultService = 700.  // Milliseconds that a request holds a slot of an engine.
)

const (
	// firstTokenTime is what a request takes at an engine beside its prompt, in milliseconds.
	firstTokenTime = 20.0
	// chunk is the number of prompt tokens that an engine reads in one step beside the tokens of other requests.
	chunk = 2048
	// paceWeight is the weight of the time for the output against the time to the first event.
	paceWeight = 1
	// pausePenalty is added, in milliseconds, where the prompt would pause the streams beside it for longer than their
	// callers hope.
	pausePenalty = 400.0
	// zonePenalty is added, in milliseconds, for a backend server in another data centre; bytes between them cost.
	zonePenalty = 3.0
	// failPenalty is added, in milliseconds, in proportion to the share of failures.
	failPenalty = 4000.0
	// unheardBias is the cost, in milliseconds, by which the preferences of instances differ when each backend server gets a
	// request that an instance has not heard of. Without it all instances choose the same backend server from the same old
	// word of the others and fill its queue.
	unheardBias = 400.0
	// leastBias is the part of unheardBias that always counts, so that idle instances choose differently among like backend
	// servers; it stays below zonePenalty.
	leastBias = 0.005
	// leastPart is the number of requests for each free slot that all instances together may send to a backend server
	// between two words of each other. What was sent in the time of one word may be missing in the next one as well.
	leastPart = 0.5
	// freePart is that number where as many requests are expected as there are free slots; it grows with a power of the
	// slots for each request, since a choice among few backend servers costs more than now and then a short queue.
	freePart  = 4.0
	freePower = 3
	// turn is the golden ratio; steps of it spread evenly over [0, 1).
	turn = 0.6180339887
	// fullPause is how long a backend server that refused a request for want of room is passed over.
	fullPause = 200 * time.Millisecond
	// similar is the part by which another choice may be worse and still be taken at random, so that instances that know the
	// same do not all choose the same backend server.
	similar = 0.12
	// plainQueue is how many requests beyond its slots a plain service may have waiting; they are short.
	plainQueue = 4
	// heardSick is how old the latest answer of a backend server must be for the word of other instances to count.
	heardSick = 250 * time.Millisecond
	// retention is how long the account of an incarnation that is no longer listed is kept.
	retention = time.Minute
)

// Board keeps the accounts of backend servers.
type Board struct {
	accounts map[fleet.Incarnation]*account
	engines  map[string]*engineModel // By service.
	outputs  map[string]average      // Tokens that requests write, by route.
	random   func() float64
	self     string
	unheard  float64
	nodes    int
	parts    map[string]float64 // By service, how much of the free slots the instances may use; until the next word.
}

// engineModel is what the backend servers of a service have in common.
type engineModel struct {
	pace    average // Milliseconds from token to token, over all.
	read    average // Prompt tokens in a millisecond at a backend server of average pace.
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
	return &Board{accounts: map[fleet.Incarnation]*account{}, engines: map[string]*engineModel{}, outputs: map[string]average{}, random: cfg.Random, self: cfg.Self, parts: map[string]float64{}}
}

// Choose returns the backend server for a job, or nil when none of the candidates has room. Deep is how far beyond its
// slots a backend server may be filled. With jobs waiting, those of other instances are likely to wait as well, and all
// would send to a backend server that comes free.
func (b *Board) Choose(now time.Time, svc *fleet.Service, servers []*fleet.Server, j *Job, deep int, waiting bool) *fleet.Server {
	best, second := b.cheapest(now, svc, servers, j, deep, waiting, false)
	if best.server == nil && !b.anyHealthy(now, servers, j) {
		// All look sick or were tried: better a doubtful one than none. Where healthy ones are merely full, the job waits.
		best, second = b.cheapest(now, svc, servers, j, deep, waiting, true)
	}
	if second.server != nil && second.cost <= best.cost*(1+similar) && b.random() < 0.5 {
		return second.server
	}
	return best.server
}

// choice is a backend server with its expected cost in milliseconds.
type choice struct {
	server *fleet.Server
	cost   float64
}

// anyHealthy reports whether there is a backend server that is not avoided and has not had the job.
func (b *Board) anyHealthy(now time.Time, servers []*fleet.Server, j *Job) bool {
	for _, s := range servers {
		if !j.tried(s.Incarnation()) && !b.account(s).avoided(now) {
			return true
		}
	}
	return false
}

// cheapest returns the two candidates with the least expected cost; doubtful ones are those that are avoided or have had
// the job.
func (b *Board) cheapest(
	now time.Time, svc *fleet.Service, servers []*fleet.Server, j *Job, deep int, waiting, doubtful bool,
) (best, second choice) {
	m := b.model(svc.Name)
	part := leastPart
	if !waiting {
		part = b.part(svc, servers)
	}
	for _, s := range servers {
		a := b.account(s)
		if now.Before(a.full) || !b.room(a, svc, s, deep, part) {
			continue
		}
		if !doubtful && (a.avoided(now) || j.tried(s.Incarnation())) {
			continue
		}
		c := choice{server: s, cost: b.cost(a, m, svc, s, j)}
		switch {
		case best.server == nil || c.cost < best.cost:
			best, second = c, best
		case second.server == nil || c.cost < second.cost:
			second = c
		}
	}
	return best, second
}

// part returns how many requests for each free slot of a service all instances together may send between two words of
// each other. Where they are expected to send less than there is room for, more of them may choose freely.
func (b *Board) part(svc *fleet.Service, servers []*fleet.Server) float64 {
	if part, ok := b.parts[svc.Name]; ok {
		return part
	}
	free := 0
	for _, s := range servers {
		free += max(0, max(1, s.Slots)-b.account(s).load().Requests)
	}
	plenty := float64(free) / max(1, b.unheard*float64(len(servers)))
	part := max(leastPart, freePart*math.Pow(plenty, freePower))
	b.parts[svc.Name] = part
	return part
}

// room reports whether a backend server may get one more request. An engine's free slots are shared by the instances: each
// may use the slots that its own requests left and its part of the others. Otherwise all would send to an engine that
// comes free before they hear of each other.
func (b *Board) room(a *account, svc *fleet.Service, s *fleet.Server, deep int, part float64) bool {
	limit := max(1, s.Slots) + deep
	if !svc.Engine {
		return a.load().Requests < limit+plainQueue
	}
	free := limit - a.load().Requests
	if free <= 0 {
		return false
	}
	own := part * float64(max(0, free+a.recent-a.freed)) / float64(max(1, b.nodes))
	return b.nodes <= 1 || float64(a.recent)+a.draw < float64(a.freed)+own
}

// cost predicts what a job takes at a backend server, in milliseconds: the wait for a slot, the reading of the prompts
// before it and its own, and a part of its output.
func (b *Board) cost(a *account, m *engineModel, svc *fleet.Service, s *fleet.Server, j *Job) float64 {
	load := a.load()
	cost := failPenalty*a.failures*a.failures + unheardBias*max(leastBias, min(1, b.unheard))*a.bias
	if s.DataCentre != j.DataCentre {
		cost += zonePenalty
	}
	slots := max(1, s.Slots)
	if !svc.Engine {
		latency := a.latency.or(m.service.or(defaultLatency))
		return cost + latency*(1+float64(load.Requests)/float64(slots))
	}
	speed := b.speed(a, m)
	first := speed * (firstTokenTime + float64(load.Prompt+j.Prompt)/m.read.or(defaultRead))
	if load.Requests >= slots {
		first += speed * m.service.or(defaultService) * float64(load.Requests-slots+1) / float64(slots)
	}
	pace := a.pace.or(m.pace.or(defaultPace))
	cost += first + paceWeight*pace*b.output(j)
	if j.Gap > 0 && load.Requests > 0 && j.Prompt > chunk {
		step := pace + speed*chunk/m.read.or(defaultRead)
		if step*float64(max(1, svc.Stride)) > 0.8*float64(j.Gap.Milliseconds()) {
			cost += pausePenalty
		}
	}
	return cost
}

// First predicts the time to the first event of a job at a backend server.
func (b *Board) First(svc *fleet.Service, s *fleet.Server, j *Job) time.Duration {
	a, m := b.account(s), b.model(svc.Name)
	if !svc.Engine {
		return milliseconds(a.latency.or(m.service.or(defaultLatency)))
	}
	load := a.load()
	first := b.speed(a, m) * (firstTokenTime + float64(load.Prompt+j.Prompt)/m.read.or(defaultRead))
	if n := load.Requests - max(1, s.Slots) + 1; n > 0 {
		first += b.speed(a, m) * m.service.or(defaultService) * float64(n) / float64(max(1, s.Slots))
	}
	return milliseconds(first)
}

// Load returns what all instances have sent to a backend server as far as this one knows.
func (b *Board) Load(s *fleet.Server) Load { return b.account(s).load() }

// Usual predicts the time to the first event of a job at an idle backend server of average pace.
func (b *Board) Usual(svc *fleet.Service, j *Job) time.Duration {
	m := b.model(svc.Name)
	if !svc.Engine {
		return milliseconds(m.service.or(defaultLatency))
	}
	return milliseconds(firstTokenTime + float64(j.Prompt)/m.read.or(defaultRead))
}

// Start records that a job is sent to a backend server.
func (b *Board) Start(now time.Time, s *fleet.Server, j *Job) {
	a := b.account(s)
	a.own.Requests++
	a.own.Prompt += j.Prompt
	a.recent++
	a.used = now
}

// Began records the first event of a job; the prompt is read.
func (b *Board) Began(now time.Time, svc *fleet.Service, s *fleet.Server, j *Job, first time.Duration) {
	a, m := b.account(s), b.model(svc.Name)
	a.own.Prompt = max(0, a.own.Prompt-j.Prompt)
	a.answered = now
	// Only a request that found a free slot and had something to read tells how fast prompts are read.
	if ms := float64(first.Milliseconds()) - firstTokenTime; svc.Engine && j.Prompt > chunk/2 && a.load().Requests <= s.Slots && ms > 1 {
		m.read.add(min(float64(j.Prompt+a.load().Prompt)*b.speed(a, m)/ms, 10*defaultRead))
	}
}

// Outcome is how a job ended at a backend server.
type Outcome struct {
	Answered bool          // An answer came, good or not.
	OK       bool          // The answer was a success and complete.
	Refused  bool          // The backend server said that it did not run the job.
	Left     bool          // The caller left or the deadline passed, which says nothing of the backend server.
	First    bool          // The first event has come.
	Total    time.Duration // From the sending to the end.
	Pace     time.Duration // From token to token; 0 when unknown.
	Output   int           // Tokens that were written.
}

// Finish records the end of a job that was started.
func (b *Board) Finish(now time.Time, svc *fleet.Service, s *fleet.Server, j *Job, o Outcome) {
	a, m := b.account(s), b.model(svc.Name)
	a.own.Requests = max(0, a.own.Requests-1)
	a.freed++
	if !o.First {
		a.own.Prompt = max(0, a.own.Prompt-j.Prompt)
	}
	switch {
	case o.Left:
	case o.Refused:
		a.answered = now
		a.full = now.Add(fullPause)
	case o.Answered:
		a.answer(now, o.OK)
	default:
		a.miss(now)
	}
	if !o.OK {
		return
	}
	total := float64(o.Total.Microseconds()) / 1000
	m.service.add(total)
	if !svc.Engine {
		a.latency.add(total)
	}
	if o.Pace > 0 {
		b.Paced(svc, s, o.Pace)
	}
	if o.Output > 0 {
		out := b.outputs[j.Route]
		out.add(float64(o.Output))
		b.outputs[j.Route] = out
	}
}

// Paced records the pace of a stream, from token to token.
func (b *Board) Paced(svc *fleet.Service, s *fleet.Server, pace time.Duration) {
	ms := float64(pace.Microseconds()) / 1000
	a := b.account(s)
	a.pace.add(ms)
	a.untold = true
	b.model(svc.Name).pace.add(ms)
}

// output predicts the tokens that a job writes. What its caller allows at most is far above what most need, so the mean
// of its route counts, and what the caller expects where it says so.
func (b *Board) output(j *Job) float64 {
	if j.Hint > 0 {
		return float64(min(j.Hint, max(j.Output, 1)))
	}
	out := b.outputs[j.Route]
	return min(out.or(defaultOutput), float64(max(j.Output, 1)))
}

// SetNodes says how many instances there are, this one included.
func (b *Board) SetNodes(n int) { b.nodes = n }

// SetUnheard says how many requests the others send to a backend server, on average, before this instance hears of them.
func (b *Board) SetUnheard(n float64) { b.unheard = n }

// SetOthers replaces what the other instances have sent; backend servers that are not named have nothing from them.
func (b *Board) SetOthers(others map[string]Load) {
	clear(b.parts)
	for id, a := range b.accounts {
		a.others, a.recent, a.freed = others[id.ID], 0, 0
		_, a.draw = math.Modf(a.draw + turn)
	}
}

// Own returns what this instance has sent, by id of the backend server.
func (b *Board) Own() map[string]Load {
	own := map[string]Load{}
	for id, a := range b.accounts {
		if a.own != (Load{}) {
			own[id.ID] = own[id.ID].Plus(a.own)
		}
	}
	return own
}

// Paces returns the pace of backend servers by id that was learned since the last call, in milliseconds from token to
// token.
func (b *Board) Paces() map[string]float64 {
	paces := map[string]float64{}
	for id, a := range b.accounts {
		if a.untold {
			paces[id.ID] = a.pace.value
			a.untold = false
		}
	}
	return paces
}

// Teach sets the pace of backend servers of which nothing is known from measurements of other instances.
func (b *Board) Teach(paces map[string]float64) {
	for id, a := range b.accounts {
		if ms, ok := paces[id.ID]; ok && a.pace.n == 0 && ms > 0 {
			a.pace.value, a.pace.n = ms, 1
		}
	}
}

// Sweep forgets accounts that are not used any more.
func (b *Board) Sweep(now time.Time, listed func(fleet.Incarnation) bool) {
	for id, a := range b.accounts {
		if !listed(id) && a.own.Requests == 0 && now.Sub(a.used) > retention {
			delete(b.accounts, id)
		}
	}
}

// Answered returns when a backend server last showed a sign of life.
func (b *Board) Answered(s *fleet.Server) time.Time { return b.account(s).answered }

// SickIDs returns the ids of backend servers that this instance failed to reach.
func (b *Board) SickIDs(now time.Time) []string {
	var ids []string
	for id, a := range b.accounts {
		if a.misses > 0 && now.Before(a.avoid) {
			ids = append(ids, id.ID)
		}
	}
	return ids
}

// HearSick takes in how many other instances failed to reach backend servers. One word is enough where this instance had
// no answer lately; an instance that gets answers itself goes by these, since the fault may lie with the others.
func (b *Board) HearSick(now time.Time, sick map[string]int, until time.Time) {
	for id, a := range b.accounts {
		if sick[id.ID] > 0 && now.Sub(a.answered) > heardSick {
			a.word = until
		}
	}
}

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

// speed returns how much slower than the average a backend server is.
func (b *Board) speed(a *account, m *engineModel) float64 {
	if a.pace.n == 0 || m.pace.n == 0 || m.pace.value <= 0 {
		return 1
	}
	return a.pace.value / m.pace.value
}

func (b *Board) account(s *fleet.Server) *account {
	id := s.Incarnation()
	a := b.accounts[id]
	if a == nil {
		a = &account{bias: bias(b.self, s.ID)}
		a.draw = a.bias
		b.accounts[id] = a
	}
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

// bias returns a number in [0, 1) that differs between instances and between backend servers.
func bias(self, server string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(server))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(self))
	// FNV mixes its last bytes badly; this is the finalizer of MurmurHash3.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
