package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mustardseam/mustardseam/demo/cluster"
)

const (
	burstDuration = 2 * time.Second
	burstCallers  = 160
)

// sendBurst overloads the fleet with callers of every tier that send the next request without a pause, so that the
// queue fills up.
func (r *demoRun) sendBurst() {
	end := time.Now().Add(burstDuration)
	var wg conc.WaitGroup
	for n := range burstCallers {
		rnd := rand.New(rand.NewPCG(r.opts.Seed, uint64(5000+n)))
		tier := n % len(r.site.Tiers)
		t := r.site.Teams[n%len(r.site.Teams)]
		wg.Go(func() {
			for seq := 0; time.Now().Before(end); seq++ {
				at, addr, ok := r.pickInstance(rnd)
				if !ok {
					continue
				}
				q := cluster.Completion{
					Address: addr, Key: t.Key, Model: r.site.Model, Tier: r.site.Tiers[tier], MaxOutputTokens: 60,
					Prompt: fmt.Sprintf("burst %d of caller %d seed %d", seq, n, r.opts.Seed),
				}
				a, err := r.client.Complete(q)
				r.record(result{team: t.Name, tier: tier, prompt: q.Prompt, instance: at, answer: a, err: err})
			}
		})
	}
	wg.Wait()
}
