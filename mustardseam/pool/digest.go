package pool

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/fair"
)

// Digest summarizes the state of a pool's home instance for other regions, which use it to decide about overflow.
type Digest struct {
	Tiers  []TierDigest  `json:"tiers,omitempty"` // Tiers with waiting requests, the highest first.
	Lowest int           `json:"lowest"`          // Rank of the lowest tier with waiting requests; -1 if none wait.
	Limit  int           `json:"limit"`           // Concurrent requests that the servers in service may run.
	Room   int           `json:"room"`            // Requests that could be granted now.
	Wait   time.Duration `json:"wait"`            // Expected wait of tier Lowest in nanoseconds; 0 if unknown.
}

// TierDigest summarizes the waiting requests of a tier.
type TierDigest struct {
	Rank    int           `json:"rank"`
	Waiting int           `json:"waiting"` // Number of waiting requests.
	Tokens  float64       `json:"tokens"`  // Estimated cost of the waiting requests.
	Wait    time.Duration `json:"wait"`    // Expected wait of a new request in nanoseconds; 0 if unknown.
}

// Digest returns the current summary of the pool.
func (p *Pool) Digest() Digest {
	d := Digest{Lowest: -1, Limit: p.totalLimit, Room: p.totalRoom}
	for _, t := range p.queue.Tiers() {
		wait := p.tierWait(t)
		d.Tiers = append(d.Tiers, TierDigest{t.Rank, t.Items, t.Tokens, wait})
		d.Lowest, d.Wait = t.Rank, wait
	}
	return d
}

// tierWait estimates the time until the waiting requests of the tier and of all higher tiers are served, or returns 0
// if it is unknown.
func (p *Pool) tierWait(t fair.Backlog) time.Duration {
	throughput, known := p.tierThroughput(p.now, t.Rank)
	if !known {
		return 0
	}
	return boundedDuration((p.queue.TokensAhead(t.Rank, "") + t.Tokens) / throughput)
}
