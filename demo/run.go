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

// result is one request of the load and what became of it.
type result struct {
	team     string
	tier     int
	order    bool
	plain    bool // Without streaming, so that the head of the answer comes with its end.
	prompt   string
	unique   string
	instance int
	stopping bool // The instance was told to stop before the answer ended.
	answer   cluster.Answer
	err      error
}

// demoRun drives the load and the disturbances and collects what the checks need.
type demoRun struct {
	cluster *cluster.Cluster
	site    cluster.Site
	opts    options
	client  *cluster.Client
	start   time.Time
	end     time.Time

	mu       sync.Mutex
	results  []result     // Guarded by mu.
	stopping map[int]bool // Instances that take no new requests of the balancer; guarded by mu.
	notes    observations // Guarded by mu.
}

// observations are what the disturbances saw.
type observations struct {
	lateToDataCentre int           // Requests admitted in a data centre more than 3 s after it was taken out.
	lateToServer     int           // Requests admitted by a leaving backend server after more than 3 s.
	cutOff           int           // Planned stops that cut off answers.
	slowest          time.Duration // Longest time from acceptance to force everywhere.
	reverts          int           // Instances seen at a lower revision than before.
	failures         []string      // Disturbances that could not be carried out.
	badShare         float64       // Share of the route's requests that the bad version got.
	badOver          int           // Requests to the bad version beyond its share.
	badLate          int           // Requests to the bad version later than 2 s after it was taken back.
	badSeen          bool          // Whether the bad version was taken back at all.
}

func newRun(c *cluster.Cluster, site cluster.Site, o options) *demoRun {
	return &demoRun{cluster: c, site: site, opts: o, client: cluster.NewClient(), stopping: map[int]bool{}}
}

// drive runs callers, disturbances and the observer until the end.
func (r *demoRun) drive() {
	r.start = time.Now()
	r.end = r.start.Add(r.opts.For)
	var wg conc.WaitGroup
	for n := range r.site.Teams {
		for tier := range r.site.Tiers {
			for worker := range callersPerTier[tier] {
				seed := r.opts.Seed*1000 + uint64(n*100+tier*10+worker)
				wg.Go(func() { r.call(rand.New(rand.NewPCG(seed, 1)), n, tier) })
			}
		}
		seed := r.opts.Seed*1000 + uint64(n) + 900
		wg.Go(func() { r.order(rand.New(rand.NewPCG(seed, 2)), n) })
	}
	if !r.opts.Calm {
		wg.Go(r.observe)
		wg.Go(r.disturb)
	}
	wg.Wait()
}

// callersPerTier is the number of callers of a team by tier; the lowest tier keeps the fleet busy.
var callersPerTier = []int{3, 4, 6}

// pick returns an instance as the platform's balancer does: any that is not known to stop.
func (r *demoRun) pick(rnd *rand.Rand) (int, string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := rnd.IntN(r.cluster.Instances())
	i := r.cluster.Instance(n)
	if i == nil || r.stopping[n] {
		return 0, "", false
	}
	return n, i.CallerAddress(), true
}

// call is one caller of model requests, whose lengths differ a hundredfold.
func (r *demoRun) call(rnd *rand.Rand, team, tier int) {
	t := r.site.Teams[team]
	for seq := 0; time.Now().Before(r.end); seq++ {
		n, addr, ok := r.pick(rnd)
		if !ok {
			time.Sleep(time.Millisecond)
			continue
		}
		words := 4 << rnd.IntN(7)
		q := cluster.Completion{
			Address: addr, Key: t.Key, Model: r.site.Model, Tier: r.site.Tiers[tier], Tokens: 2 + rnd.IntN(60),
			Prompt: fmt.Sprintf("%s request %d of %s %d %s", strings.Repeat("sheet ", words), seq, t.Name, rnd.Uint64(), r.site.Tiers[tier]),
			Plain:  rnd.IntN(4) == 0,
		}
		if rnd.IntN(3) == 0 {
			q.Unique = fmt.Sprintf("%d-%x", time.Now().Unix(), rnd.Uint64())
		}
		a, err := r.client.Complete(q)
		r.keep(result{
			team: t.Name, tier: tier, plain: q.Plain, prompt: q.Prompt, unique: q.Unique, instance: n, answer: a, err: err,
		})
		if q.Unique != "" && rnd.IntN(4) == 0 {
			r.again(rnd, q, t.Name, tier)
		}
	}
}

// again repeats a keyed request through another instance, as a caller does that has lost its answer.
func (r *demoRun) again(rnd *rand.Rand, q cluster.Completion, team string, tier int) {
	n, addr, ok := r.pick(rnd)
	if !ok {
		return
	}
	q.Address = addr
	a, err := r.client.Complete(q)
	r.keep(result{team: team, tier: tier, plain: q.Plain, prompt: q.Prompt, unique: q.Unique, instance: n, answer: a, err: err})
}

// order is one caller of the order service; every third order is sent through two instances at once.
func (r *demoRun) order(rnd *rand.Rand, team int) {
	t := r.site.Teams[team]
	for time.Now().Before(r.end) {
		unique := fmt.Sprintf("%d-order-%x", time.Now().Unix(), rnd.Uint64())
		copies := 1
		if rnd.IntN(3) == 0 {
			copies = 2
		}
		var wg conc.WaitGroup
		for range copies {
			n, addr, ok := r.pick(rnd)
			if !ok {
				continue
			}
			wg.Go(func() {
				a, err := r.client.Order(addr, t.Key, r.site.Orders, unique, 0)
				r.keep(result{team: t.Name, order: true, unique: unique, instance: n, answer: a, err: err})
			})
		}
		wg.Wait()
		time.Sleep(time.Duration(20+rnd.IntN(60)) * time.Millisecond)
	}
}

func (r *demoRun) keep(x result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.stopping = r.stopping[x.instance]
	r.results = append(r.results, x)
}
