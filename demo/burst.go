package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mustardseam/mustardseam/demo/cluster"
)

const (
	burstTime    = 2 * time.Second
	burstCallers = 160
)

// burst overloads the fleet with callers of every tier that ask again at once, so that the queue runs full.
func (r *demoRun) burst() {
	end := time.Now().Add(burstTime)
	var wg conc.WaitGroup
	for n := range burstCallers {
		rnd := rand.New(rand.NewPCG(r.opts.Seed, uint64(5000+n)))
		tier := n % len(r.site.Tiers)
		t := r.site.Teams[n%len(r.site.Teams)]
		wg.Go(func() {
			for seq := 0; time.Now().Before(end); seq++ {
				at, addr, ok := r.pick(rnd)
				if !ok {
					continue
				}
				q := cluster.Completion{
					Address: addr, Key: t.Key, Model: r.site.Model, Tier: r.site.Tiers[tier], Tokens: 60,
					Prompt: fmt.Sprintf("burst %d of caller %d seed %d", seq, n, r.opts.Seed),
				}
				a, err := r.client.Complete(q)
				r.keep(result{team: t.Name, tier: tier, prompt: q.Prompt, instance: at, answer: a, err: err})
			}
		})
	}
	wg.Wait()
}
