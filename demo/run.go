package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mustardseam/mustardseam/demo/cluster"
)

// result is one request of the load and its outcome.
type result struct {
	team           string
	tier           int
	order          bool
	nonStreaming   bool // The response is not streamed, so its header arrives only with its end.
	prompt         string
	idempotencyKey string
	instance       int
	stopping       bool // The instance had been told to stop when the answer ended.
	answer         cluster.Answer
	err            error
}

// demoRun runs the load, injects the faults and collects the data for the checks.
type demoRun struct {
	cluster *cluster.Cluster
	site    cluster.Site
	opts    options
	client  *cluster.Client
	start   time.Time
	end     time.Time

	mu       sync.Mutex
	results  []result     // Guarded by mu.
	stopping map[int]bool // Instances to which the balancer sends no new requests; guarded by mu.
	observed observations // Guarded by mu.
}

// observations holds the measurements taken while faults are injected.
type observations struct {
	lateToDataCentre int           // Requests admitted in a data centre more than 3 s after it was taken out of service.
	lateToServer     int           // Requests admitted by a backend server more than 3 s after it began to leave.
	interruptedStops int           // Planned stops that interrupted requests.
	maxPropagation   time.Duration // Longest time from the acceptance of a configuration until every instance applied it.
	reverts          int           // Times that an instance returned to a lower revision.
	failures         []string      // Errors of faults that could not be injected.
	badShare         float64       // Fraction of the route's requests that reached the bad version, 0 to 1.
	badExcess        int           // Requests to the bad version above its canary share.
	badLate          int           // Requests to the bad version more than 2 s after its rollback.
	badRolledBack    bool          // The bad version was rolled back.
}

func newRun(c *cluster.Cluster, site cluster.Site, o options) *demoRun {
	return &demoRun{cluster: c, site: site, opts: o, client: cluster.NewClient(), stopping: map[int]bool{}}
}

// runLoad sends requests, injects faults and checks revisions until the run ends.
func (r *demoRun) runLoad() {
	r.start = time.Now()
	r.end = r.start.Add(r.opts.For)
	var wg conc.WaitGroup
	for n := range r.site.Teams {
		for tier := range r.site.Tiers {
			for worker := range callersPerTier[tier] {
				seed := r.opts.Seed*1000 + uint64(n*100+tier*10+worker)
				wg.Go(func() { r.sendModelRequests(rand.New(rand.NewPCG(seed, 1)), n, tier) })
			}
		}
		seed := r.opts.Seed*1000 + uint64(n) + 900
		wg.Go(func() { r.sendOrders(rand.New(rand.NewPCG(seed, 2)), n) })
	}
	if !r.opts.Calm {
		wg.Go(r.detectReverts)
		wg.Go(r.injectFaults)
	}
	wg.Wait()
}

// callersPerTier is the number of concurrent callers of each team by tier; the lowest tier has the most, to keep the
// fleet busy.
var callersPerTier = []int{3, 4, 6}

// pickInstance returns a random instance that is not known to be stopping, as the platform's load balancer does.
func (r *demoRun) pickInstance(rnd *rand.Rand) (int, string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := rnd.IntN(r.cluster.Instances())
	i := r.cluster.Instance(n)
	if i == nil || r.stopping[n] {
		return 0, "", false
	}
	return n, i.CallerAddress(), true
}

// sendModelRequests sends model requests one after another; their lengths differ by a factor of up to one hundred.
func (r *demoRun) sendModelRequests(rnd *rand.Rand, team, tier int) {
	t := r.site.Teams[team]
	for seq := 0; time.Now().Before(r.end); seq++ {
		n, addr, ok := r.pickInstance(rnd)
		if !ok {
			time.Sleep(time.Millisecond)
			continue
		}
		words := 4 << rnd.IntN(7)
		q := cluster.Completion{
			Address: addr, Key: t.Key, Model: r.site.Model, Tier: r.site.Tiers[tier], MaxOutputTokens: 2 + rnd.IntN(60),
			Prompt:       fmt.Sprintf("%s request %d of %s %d %s", strings.Repeat("sheet ", words), seq, t.Name, rnd.Uint64(), r.site.Tiers[tier]),
			NonStreaming: rnd.IntN(4) == 0,
		}
		if rnd.IntN(3) == 0 {
			q.IdempotencyKey = fmt.Sprintf("%d-%x", time.Now().Unix(), rnd.Uint64())
		}
		a, err := r.client.Complete(q)
		r.record(result{
			team: t.Name, tier: tier, nonStreaming: q.NonStreaming, prompt: q.Prompt, idempotencyKey: q.IdempotencyKey, instance: n, answer: a, err: err,
		})
		if q.IdempotencyKey != "" && rnd.IntN(4) == 0 {
			r.repeat(rnd, q, t.Name, tier)
		}
	}
}

// repeat sends a request with an idempotency key again through a random instance, as a caller does after losing the
// answer.
func (r *demoRun) repeat(rnd *rand.Rand, q cluster.Completion, team string, tier int) {
	n, addr, ok := r.pickInstance(rnd)
	if !ok {
		return
	}
	q.Address = addr
	a, err := r.client.Complete(q)
	r.record(result{team: team, tier: tier, nonStreaming: q.NonStreaming, prompt: q.Prompt, idempotencyKey: q.IdempotencyKey, instance: n, answer: a, err: err})
}

// sendOrders sends orders one after another; a third of them are sent twice at the same time, each through a random
// instance.
func (r *demoRun) sendOrders(rnd *rand.Rand, team int) {
	t := r.site.Teams[team]
	for time.Now().Before(r.end) {
		idempotencyKey := fmt.Sprintf("%d-order-%x", time.Now().Unix(), rnd.Uint64())
		copies := 1
		if rnd.IntN(3) == 0 {
			copies = 2
		}
		var wg conc.WaitGroup
		for range copies {
			n, addr, ok := r.pickInstance(rnd)
			if !ok {
				continue
			}
			wg.Go(func() {
				a, err := r.client.Order(addr, t.Key, r.site.Orders, idempotencyKey, 0)
				r.record(result{team: t.Name, order: true, idempotencyKey: idempotencyKey, instance: n, answer: a, err: err})
			})
		}
		wg.Wait()
		time.Sleep(time.Duration(20+rnd.IntN(60)) * time.Millisecond)
	}
}

func (r *demoRun) record(x result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.stopping = r.stopping[x.instance]
	r.results = append(r.results, x)
}
